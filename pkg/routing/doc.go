// Package routing selects a backend server for each attempt.
//
// A Set holds the backend servers of one service as this instance sees them:
// attempts in flight, the last load report, a latency estimate, a limit and a
// weight. Pick asks the policy named in the settings and counts the attempt in
// flight; the caller ends it with Server.End. Each policy is a small type in
// its own folder.
//
// A decision reads one immutable list through an atomic pointer, looks at a
// constant number of backend servers and allocates nothing. Update and
// Configure replace the list and the policy; attempts in flight keep their
// *Server. State is local to the instance and is rebuilt from responses after
// a restart.
//
// A policy may want the load of some backend servers right before it decides
// (server.Asker, policy fresh). Set.Ask then names them, round by round; who calls
// Pick sends the questions first. Which backend servers of a large service an
// instance prefers follows from their affinity, an order of its own.
//
// Load reports come with ordinary responses (Server.Observe), with replies to
// probes (Set.Probed) and from other instances of the failure domain (Merge).
//
// Differences from the design page: the types that policies read are in
// pkg/routing/server; a decision counts all own attempts in flight instead of
// those sent since the report, because the age of a report is not known. Probed,
// Merge, Settings, ProbesPerRequest and Requests are additions.
//
// Tests: routing_test.go (properties of Pick, concurrent use, explanations) and
// bench_test.go (time and allocations of a decision). The quality of the
// policies is measured by pkg/bench.
package routing
