// Package limit bounds the work that one instance has in progress.
//
// Concurrency is the number of attempts that this instance may have in
// progress at one backend server. It starts at the instance's connection share,
// because the share is already small (6 by default), and adapts between 1 and
// the share: additive increase by one per limit successes, multiplicative
// decrease when the smoothed latency grows past a multiple of the smoothed
// minimum, and on shed and timeout. Attempts that were already in progress at a
// decrease say nothing about the new limit, so after a decrease the next
// results, as many as the limit before it, cannot decrease it again.
//
// Line is the order and the bounds of the requests that wait for a backend
// server, with the time passed in. It refuses a request on arrival if the
// queue is full, or if the pace of recent starts shows that it cannot start
// within its bound. Queue adds goroutines and timers to a Line. Only the oldest
// waiter is ever awake: it tries, and on leaving wakes the next. A wake-up that
// arrives while nobody waits is not lost either, because a waiter always tries
// once on becoming the oldest.
//
// State: local to this instance, lost at process exit. Messages: none.
//
// Difference from the design page: Queue.Admit(ctx, try) stands in place of
// Wait(ctx). With Wait the caller tries by itself, so a slot that becomes free
// between its try and its Wait would wake nobody, and a request whose try fails
// would lose its place.
//
// Tests: state machine of Line against a slice, Queue under synctest.
package limit
