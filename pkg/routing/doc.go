// Package routing selects a backend server for each attempt.
//
// A Set holds the backend servers of one service as this instance sees them:
// attempts in flight, the last load report, a latency estimate, a concurrency
// limit and a weight. Pick applies the policy named in the settings and counts
// the attempt as in flight; the code that calls Pick ends it with
// Server.EndAttempt. Each policy is a small type in its own package.
//
// A decision reads one immutable list through an atomic pointer, examines a
// bounded number of backend servers and does not allocate. Update and Configure
// replace the list and the policy; attempts in flight keep their *Server. State
// is local to the instance and is rebuilt from responses after a restart.
//
// A policy may query some backend servers for their load right before it
// decides (server.LoadQuerier, implemented by policy fresh).
// Set.LoadQueryTargets returns the backend servers to query in each round; the
// calling code queries them before it calls Pick. The affinity of a backend server,
// a rank that differs between instances, determines which backend servers of a large
// service an instance prefers.
//
// A backend server that states a rate limit, or is cold where Set.LimitWarmups limits the
// requests to cold ones, is usable only while this instance holds
// a permit for it (Server.GrantPermit), which the next attempt uses. Package
// ratelimit obtains the permits.
//
// A request that leaves headroom to more urgent ones (Set.PickWithHeadroom, package
// admission) gets a backend server only if a share of its range of load stays free: by
// the cost that the policy estimates (server.HeadroomChecker), otherwise by the reported
// occupancy.
//
// Load reports arrive with ordinary responses and with replies to load queries
// (Server.RecordReport), and with replies to probes (Set.RecordProbeReply).
//
// The types that policies read are in pkg/routing/server. The load estimate of
// policy lentilpin counts all attempts of this instance in flight, not only
// those sent since the last report, because the true age of a report is unknown.
//
// routing_test.go tests properties of Pick, concurrent use and explanations;
// bench_test.go measures the time and allocations of a decision. Package bench
// measures the quality of the policies.
package routing
