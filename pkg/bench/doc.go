// Package bench runs the decision code of the gateway in virtual time against
// small fakes of backend servers and network, and reports tail latency and the
// cost of measuring.
//
// What is real: pkg/routing with all policies, pkg/measure, pkg/limit,
// pkg/retry, pkg/outlier and pkg/quarantine. What is fake: time (loop.go), the
// backend server with 6 slots and a first-in first-out queue (backend.go), the
// network (network.go) and the part of the gateway that joins the packages
// (entry.go). There is no code of the transport, the ledger or the exchange.
//
// The model, so that a reader can judge the figures: requests arrive at 19
// entries as a Poisson process. The work of a request is log-normal with a mean
// of 10 ms; half of the variance (sigma 0.4 each) belongs to the request and
// half to the attempt, so a hedge helps but does not draw all work anew. A
// report has the state at the moment of the response. Load reports are as old
// as the network delay plus the delay of the scenario; policies are not told
// that age. A request that fails counts with its whole timeout of 2 s in the
// percentiles, so that failing fast improves none. Latency is what the entry
// sees; the way to the caller is the same for all policies. Connections are
// taken as established.
//
// Every policy gets the same arrivals and the same work for a seed. All
// policies retry failed attempts under the same retry budget. Ejection, limits,
// quarantine and hedging belong to the variants that Variants names.
//
// Tests: bench_test.go checks that a seed repeats exactly, that no request is
// lost, and the fakes.
package bench
