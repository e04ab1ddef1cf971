// Package platform reads the settings tree and the instance list from the
// configuration service of the platform.
//
// Both are read by HTTP long polling. The service accepts about 2,000 calls per
// second from all readers together, so every client limits its own rate without
// coordination: at most one call per second on average with a burst of two, for
// the tree and for the instance list each. After a change, the next call is
// delayed with full jitter, because a change completes every pending long poll
// at the same moment. After an error, the delay is drawn from a range that
// doubles up to 30 s, so that the instances of a fleet don't all call at once
// after an outage.
//
// The only state is one rate limiter and one backoff for each kind of call. It
// is lost on exit, which is harmless because a new client starts with a random
// delay.
//
// A method makes one call and returns a newer value, ErrUnchanged or another
// error. The caller repeats the call in a loop; the client delays each call as
// described above.
package platform
