// Package bench is a discrete-event simulation of the gateway. It runs the
// gateway's decision code in virtual time against simulated backend servers and a
// simulated network, and reports tail latency and the cost of load probes.
//
// The simulation uses the production code of pkg/routing with all policies,
// pkg/measure, pkg/limit, pkg/retry, pkg/outlier and pkg/quarantine. It simulates
// time (loop.go), backend servers with 6 slots and a first-in first-out queue
// (backend.go), the network (network.go) and the part of the gateway that connects
// the packages (entry.go). It does not use the code of the transport, the ledger
// or the exchange between entries.
//
// The model: requests arrive at 19 entries as a Poisson process. The work of a
// request is log-normal with a mean of 10 ms. Half of the variance (sigma 0.4
// each) belongs to the request and half to the attempt, so a hedge helps but does
// not draw all of the work again. A load report has the state of the backend
// server at the moment of the response; it arrives after the network delay plus
// the report delay of the scenario, and policies are not told this age. A failed
// request counts with the whole request timeout of 2 s in the percentiles, so that
// failing fast does not improve them. Latency is measured at the entry, because
// the network path to the caller is the same for all policies. Connections are
// assumed to be established.
//
// A Workload (workload.go) is a second model for policy fresh with its load queries
// (load_query.go) and the route's hedge delay (hedge.go): several kinds of requests of
// 100 to 410 ms, failure domains with uneven demand and uneven numbers of backend
// servers, and backend servers that are 7 times slower for half a second at a time. The
// slowdown of each moment applies to the attempts in progress; in the scenario held,
// that of the start of an attempt applies until its end. The latency is that of
// idempotent requests; a failed one counts with its caller's deadline. spill.go counts
// what crosses failure domains. The work of a request is almost constant (sigma 0.15
// for the request and for the attempt), and a request with its response is assumed to
// have 2 KB.
//
// For a given seed, all policies get the same arrivals and the same work. All
// policies retry failed attempts under the same retry budget. Ejection, limits,
// quarantine and hedging are enabled by variant; see Variants.
//
// A second model (RankScenario, RunRanks) plays bursts of requests of several ranks to one
// service, with admission by rank and without it, with the policy fresh and its load
// queries. It uses pkg/admission, pkg/limit and pkg/routing as the gateway does; callers
// repeat refused requests as docs/hard-load.md states. A backend server works at a seventh
// of its speed for some periods of half a second.
//
// The tests check that a seed gives the same result each time and that no request
// is lost, and they check the simulated backend servers and the event loop.
package bench
