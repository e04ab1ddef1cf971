// Package platform reads the configuration service and the instance list.
//
// Both are read by long poll over HTTP. The service serves about 2,000 calls
// per second to all readers together, so every client limits itself without
// knowing the others: at most one call per second on average and a burst of
// two, for each of the two kinds of call. Full jitter precedes the next call
// after a change, because a change wakes every pending watch at the same
// moment. After an error the delay is drawn from a range that doubles up to
// 30 s, so that a fleet does not return at once after an outage.
//
// State: one limiter and one back-off per kind; lost on exit, which is
// harmless because a new client starts with a random delay.
//
// A call returns once: a newer value, ErrUnchanged, or an error. The caller
// loops; the client keeps the pace.
package platform
