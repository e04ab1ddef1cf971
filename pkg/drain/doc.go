// Package drain stops an HTTP server without cutting off a request.
//
// http.Server.Shutdown closes idle connections at once, also those on which a part of a
// request has arrived, and drops without a response every request that is read after the
// shutdown has begun. A Server decides itself, under the lock under which bytes are passed
// on: either a connection is closed and no byte of a later request reaches the server, or
// a request has begun and the connection stays open until it has been answered.
//
// Drain closes the listener, then each connection once it has been idle for some time, and
// waits for the others until its context ends. Connections that were used or made lately
// stay open at first, because a request is probably on its way.
//
// LimitConnections bounds the open connections under callers that open many and then make
// the server wait: connections that are idle, whose head or body does not arrive (AwaitBody)
// or whose response is not read give way to new ones. A connection counts until its
// goroutine has ended.
//
// The handler must send "Connection: close" in its responses while the server drains, so
// that callers send no further request. Requests that are pipelined behind an unfinished
// one are not protected.
package drain
