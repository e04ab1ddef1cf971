// Package limit limits the concurrent attempts and the waiting requests of one
// instance.
//
// Concurrency is the limit on concurrent attempts of this instance at one backend
// server. It adapts by additive increase and multiplicative decrease (AIMD) between
// 1 and the instance's share of the connections to the server, and starts at the
// share, because the share is already small (6 by default). The limit increases by
// one per limit successes. It decreases when the smoothed latency exceeds a multiple
// of the smoothed minimum, when the server sheds load, on timeouts and on broken
// connections. Attempts that were already in progress at a decrease carry no
// information about the new limit. After a decrease, as many results as the limit
// before it therefore cannot decrease it again.
//
// WaitList is a bounded queue of the requests that wait for a backend server;
// the code that calls it passes the time in. Requests without a rank are served first in,
// first out. Ranked requests are ordered by rank, then by the time until their latest
// start; a waiter moves up one rank for each agingStep, and a more urgent arrival
// displaces the least urgent waiter of a full queue. WaitList rejects a request on arrival if
// the queue is full, or if the rate of recent starts shows that the request cannot
// start before its deadline. Queue adds goroutines and timers to a WaitList. Only the
// head (without ranks the oldest waiter) is ever woken: it tries to start, and wakes the
// next waiter when it leaves. Where a less urgent head has aged and finds no room, the
// first of the more urgent waiters tries too. A wake-up that arrives while the queue is empty has no effect and is not
// needed, because a waiter always tries once when it becomes the oldest.
//
// Memory bounds the memory for the bodies of all requests, of which those that do not arrive
// give way, and Budget what is kept for callers that may never finish: unfinished heads, and
// responses that are not read. Total bounds several of them together.
//
// State: local to this instance, lost at process exit. Messages: none.
//
// Difference from docs/design.md: Queue.Admit(ctx, try) replaces Wait(ctx).
// With Wait, the calling code itself would try to start. A slot that becomes free
// between the try and the call of Wait would then wake no waiter, and a request whose
// try fails would lose its position in the queue.
//
// Tests: state machines of WaitList against a slice and of Budget, Queue and Memory under
// synctest.
package limit
