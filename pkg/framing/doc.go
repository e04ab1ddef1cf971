// Package framing decides once where each request on a connection ends, and whether a
// response is well formed.
//
// Where two readers of a connection differ on the end of a request, requests that are
// hidden in others are run (request smuggling, RFC 9112, section 11.2). A Listener puts a
// strict reader between the connection and net/http. It reads every byte of the
// connection in order, so that no request is missed: pipelined, split over packets, or
// behind a body. What it passes on is framed anew: each head has one Content-Length, one
// Transfer-Encoding of chunked, or neither, each line ends with CRLF, and chunks have no
// extensions and no trailers. net/http cannot read that in another way.
//
// A request whose framing is not certain is refused: its head is passed on with the field
// ErrorField in place of its framing, and no further byte of the connection is. The
// handler responds with 400 and closes the connection (see Error). If not even the first
// line is that of a request, net/http refuses it.
//
// A head is held back until it is complete, up to a size, and what the heads of all
// connections need comes from one limit.Budget. This answers callers that send heads
// without end: an unfinished head costs its bytes only, and the one that is unfinished for
// longest gives way. Of a head that is over a limit only the first bytes are passed on, with
// a mark (see IsOverLimit). The request line of the last request stays counted while a
// connection is idle, because net/http keeps a part of it.
//
// CheckResponseHead decides whether the head of a response is well formed. A malformed one is
// not repaired: the response is refused.
//
// State: of one connection, at most one head; of an idle one, no bytes.
package framing
