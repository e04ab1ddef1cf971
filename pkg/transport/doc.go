// Package transport holds the connections to the backend servers of one
// service and performs single exchanges over them.
//
// # Why not http.Transport
//
// http.Transport sends a request again on its own when a reused connection
// closes before the response, also a POST that carries Idempotency-Key. A
// backend server may have run the first copy. Pool.Do writes a request at most
// once; whoever calls it decides about a second attempt, from Failure.NotRun.
// docs/decisions/transport.md has the alternatives with their figures.
//
// # State
//
// Pool holds one backend per address; a backend holds its idle connections
// (the most recently used one that has rested for restTime is taken first), the
// connections in an exchange and the callers that wait for one. The number of connections, those being
// established included, never exceeds Service.PerInstance. Buffers and request
// state belong to a connection only during an exchange, so an idle connection
// costs a socket and a small struct.
//
// A connection is in exactly one of these states: in an exchange, idle,
// closed. It becomes idle only if the whole response was read, no byte follows
// it, both sides allow reuse, and the context of the exchange has not ended.
// Before it is used again it is polled, and dropped if it is readable or
// closed: a byte that nobody asked for belongs to an earlier exchange. A
// backend server that sent such bytes gets a new connection for each exchange
// for unsolicitedHold, because HTTP/1.1 cannot tell a late response that
// arrives after the check from the response to the request. A backend server
// that returns the field Lentilpin-Exchange closes that gap: a response with
// the value of another exchange is refused.
//
// # Responses
//
// A response must state its length (Content-Length, chunked coding, or a
// status without a body). A body that ends with the connection is refused,
// because a cut cannot be told from its end, unless responses.unframed permits
// it: then an end is taken for the end and a reset for a cut. Body returns
// ErrTruncated or the error of the context in place of io.EOF wherever the
// response is not whole.
//
// Where backend servers sign their responses (headers.signature), a success must
// carry the signature and the name of its exchange. A response of an earlier
// exchange that comes first is skipped, connections need no rest between two
// exchanges, and bytes after a whole response cost one connection only.
//
// Where the list states the identity of a backend server, every request names it
// (headers.expectInstance). A backend server that has taken over the address
// refuses with 421, which proves that the request did not run.
//
// # Goroutines
//
// An exchange runs in the goroutine of its caller; context.AfterFunc closes the
// connection when the context ends. One timer per pool retires idle and silent
// connections and is stopped while there are no connections.
//
// # Differences from the design page
//
// Response has the additional member Trailer; Options the additional member
// Dial. A silent connection ends the exchange early only for an idempotent
// request: for any other an earlier end turns a slow response into an unknown
// outcome and permits nothing that waiting does not. Such a connection is not
// used again.
//
// # Tests
//
// See docs/proofs/transport.md.
package transport
