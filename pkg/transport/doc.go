// Package transport manages the connections to the backend servers of one
// service and performs single HTTP/1.1 exchanges over them.
//
// # Why not http.Transport
//
// http.Transport retries a request on its own when a reused connection closes
// before the response, including a POST that carries Idempotency-Key. The
// backend server may already have run the first copy. Pool.Do writes a request
// at most once; its caller decides about a retry, based on Failure.NotRun.
// docs/decisions/transport.md compares the alternatives, with measurements.
//
// # State
//
// Pool holds one backend per address. A backend holds its idle connections,
// its connections in an exchange, and the exchanges that wait for a connection.
// The most recently used connection that has been idle for at least reuseDelay
// is reused first. The number of connections, including those being
// established, never exceeds Service.ConnectionsPerInstance. Buffers and request
// state belong to a connection only during an exchange, so an idle connection
// costs a socket and a small struct.
//
// A connection is in exactly one of these states: in an exchange, idle,
// closed. It becomes idle only if the complete response was read, no further
// bytes follow, both sides allow reuse, and the context of the exchange has
// not ended. Before reuse it is polled, and dropped if it is readable or
// closed: an unsolicited byte belongs to an earlier exchange. After
// unsolicited bytes, each exchange with that backend server uses a new
// connection for unsolicitedReuseHold, because HTTP/1.1 cannot tell the
// response to the request from a late response that arrives after the poll. A
// backend server that returns the field Lentilpin-Exchange closes that gap: a
// response with the ID of another exchange is rejected.
//
// # Responses
//
// Whether a head is well formed, interim responses included, is decided by
// framing.CheckResponseHead, from its bytes: net/http repairs heads that RFC 9112 does not
// allow. A malformed one, for example with a status outside 100 to 599, is not a response:
// the exchange fails, its connection is closed, and whether the request ran is unknown. An
// interim response is skipped only if a further head follows.
//
// Whether a body is complete is decided when it ends. A response must state its length
// (Content-Length, chunked coding, or a status without a body). A response body
// delimited by the end of the connection is rejected, because truncation cannot be
// detected, unless responses.unframed permits it: then an orderly close ends the body,
// and a reset before it counts as truncation, whether the write of the request or a read
// reports it. Body returns ErrTruncated or the error of the context instead of io.EOF if the
// response is incomplete or its trailers are not well formed. A response that arrives
// while the request is being written is read after the write has ended.
//
// Where backend servers sign their responses (headers.signature), a successful
// response must carry the signature and the ID of its exchange. A preceding
// response of an earlier exchange is skipped, connections need no delay between
// two exchanges, and bytes after a complete response cost only that connection.
//
// If the instance list states the identity of a backend server, every request
// names that identity (headers.expectInstance). Another backend server that has
// taken over the address rejects the request with 421, which proves that the
// request did not run.
//
// # Silent connections
//
// A connection is silent if no byte of the response arrives for silentMs while
// an exchange on a newer connection to the same backend server succeeds. Such a
// connection is not reused. Only an idempotent request is ended early: for any
// other request, an early end would turn a slow response into an unknown outcome
// and would not make a retry any safer than waiting does.
//
// # Goroutines
//
// An exchange runs in the goroutine of its caller; context.AfterFunc closes the
// connection when the context ends. One timer per pool closes idle and silent
// connections; it does not run while there are no connections.
//
// # Differences from docs/design.md
//
// Response has the additional field Trailer, and Options the additional field
// Dial. Only an idempotent exchange is ended early on a silent connection.
//
// # Tests
//
// See docs/proofs/transport.md.
package transport
