// Package outlier detects outliers among the backend servers of a service and
// sets the routing weight of each backend server.
//
// Each backend server is in one state:
//
//   - StateDraining: weight 0 from the first drain signal of any source until
//     drainHoldMs after the last one. This state takes precedence over the instance
//     list and the health endpoint, and outlasts removal from the list and
//     re-addition.
//   - StateEjected: weight 0 for ejectMs, doubled with each ejection up to
//     maxEjectMs. After each maxEjectMs without an ejection, one doubling is undone.
//   - StateSlowStart: the weight rises from 0.1 to 1 over slowStartMs, after
//     draining, after ejection, and for servers that are new in the list.
//   - StateHealthy: weight 1.
//
// A backend server is ejected for its error ratio (error responses, broken
// connections, timeouts) if the ratio is at least errorRatio and at least twice
// the median of the other servers for 1 s without interruption. If all servers
// fail alike, ejection would only shift the load.
//
// A backend server is ejected for its mean latency if the mean is above
// latencyFactor times the median of the service and at least 10 ms above the
// median, for 2 s without interruption.
//
// Shed responses do not count as errors: load shedding is the correct reaction
// to overload, and ejecting the server would overload the next one.
//
// Both checks need minRequests attempts and cover the shortest span of recent
// seconds that contains that many, at most 10 s for errors and 3 s for latency.
// Older attempts would hide the sudden failure of a busy server, or count a past
// overload against a server that receives few requests.
//
// At most floor(maxEjectRatio x servers that are not draining) are ejected; with
// the default 0.33 that is none of 3 and one of 6. The limit holds after every
// Sweep: if the list shrinks or other servers start to drain, the servers that
// were ejected first are readmitted early. If more than half of the servers would
// be in slow start, new servers start at full weight, because an entirely new
// service has no other servers to take the load.
//
// A failing health check postpones the readmission of an ejected backend server
// by healthPeriodMs, at most until maxEjectMs after its ejection. Health checks
// never eject a server and never end an ejection early, because health endpoints
// are unreliable.
//
// State: local to this instance, except drain marks, which entries exchange
// together with the time of the original signal, so that forwarding a mark never
// prolongs it. The state of backend servers that left the list is kept while it
// is relevant, for at most 1024 servers. Messages: peerpb.DrainMark through the
// gateway.
//
// Not in docs/design.md: ActiveDrainMarks, Merge, Health, Configure and
// ServerInfo. The owner of the recorder adds the name of the service to the events.
//
// Tests: state machine against an independent model of the invariants.
package outlier
