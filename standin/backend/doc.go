// Package backend is a stand-in for backend servers in tests and in the demo.
//
// A Server runs a limited number of requests concurrently, one per slot, and
// holds others in a bounded FIFO queue. Service times are drawn from a
// distribution with a fixed seed and are longer during a cold period after the
// start. Each response carries a load report and, while the server is draining,
// the drain state. A request is shed with "Backend-Shed: not-run" if the queue is
// full or its deadline passes in the queue. A read is abandoned when its deadline
// passes or its caller disconnects.
//
// GET and HEAD are reads, and GET returns a body from package payload. Any other
// method is an order. The stand-in counts how often each order ID started to run;
// the tests for at-most-once execution rely on these counts. An order that has
// started runs to completion, even if its caller disconnects.
//
// Faults are set through Server or through the admin handler, which listens on
// an address of its own. Requests to the service address cannot set faults.
package backend
