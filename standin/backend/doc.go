// Package backend stands in for backend servers in tests and in the demo.
//
// A Server has a number of slots, a first-in first-out queue of bounded length,
// a service time drawn from a distribution with a fixed seed, and a slower time
// after its start. It reports its load on every response, states that it is
// draining, sheds with "Backend-Shed: not-run" when its queue is full or a
// deadline passes in the queue, and gives up on a read whose caller is gone.
//
// GET returns a body from package payload. Any other method is an order; the
// stand-in counts how often each order identifier started to run, which is the
// figure that the proofs of "at most once" rest on. An order that has started
// runs to its end, also if its caller is gone.
//
// Faults are set through Server or through the admin handler, which listens on
// an address of its own. Nothing on the business address can set a fault.
package backend
