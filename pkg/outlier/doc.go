// Package outlier decides which backend servers of a service get no work or
// little work because of how they behave.
//
// Each backend server is in one state. Draining has precedence: weight 0 from
// the first signal of any source and until drainHoldMs after the last one,
// whatever the instance list or the health endpoint says meanwhile, and also if
// the list drops the server and names it again. Ejected: weight 0 for ejectMs,
// doubled with each ejection up to maxEjectMs, one step forgotten after each
// maxEjectMs without ejection. SlowStart: the weight rises from 0.1 to 1 over
// slowStartMs, after draining, after ejection, and for servers new in the list.
// Healthy: weight 1.
//
// A backend server is ejected for its share of errors (error responses, broken
// connections, timeouts) if that is at least errorRatio and at least twice the
// median of the others for 1 s without a break; if all fail alike, ejection would
// only move the load.
// It is ejected for its mean latency if that is above latencyFactor times the
// median of the service and at least 10 ms above it, for 2 s without a break. Shed responses do not count
// as errors: an overloaded server that sheds properly does what it should, and
// ejecting it would overload the next. A judgement
// needs minRequests attempts and covers the newest seconds that hold so many, at
// most 10 s for errors and 3 s for latency: older attempts would hide a busy
// server's sudden failure, or hold an overload that is over against a server
// that gets little work.
//
// At most floor(maxEjectRatio x servers that are not draining) are ejected; with
// the default 0.33 that is none of 3 and one of 6. The bound holds after
// every Sweep: if the list shrinks or others start to drain, the servers ejected
// first are readmitted early. If more than half of the servers would be in slow
// start, newcomers start at full weight, because a service that is new as a
// whole has no others to take the load meanwhile.
//
// A failing health check postpones the readmission of an ejected backend server
// by healthPeriodMs, at most until maxEjectMs after its ejection. It ejects
// nobody and a good one readmits nobody, because health endpoints mislead.
//
// State: local to this instance, except drain marks, which entries exchange with
// the time of the first-hand signal, so that passing a mark on never prolongs
// it. What is known of a backend server that left the list is kept while it
// matters, for at most 1024 servers. Messages: peerpb.DrainMark through the
// gateway.
//
// Difference from the design page: Marks, Merge, Health, Configure and Info are
// additional. The recorder's owner adds the name of the service to the events.
//
// Tests: state machine against an independent model of the promises.
package outlier
