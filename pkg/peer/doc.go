// Package peer implements the calls between entries: drpc over TCP.
//
// Package peerpb defines the service. Every call has a maximum duration and a
// maximum size of the request and of the reply (see limits.go). Both messages
// carry a header, and the drpc metadata of the request carries the shared peer
// secret, which the server compares in constant time.
//
// A drpc connection carries one call at a time. Client therefore keeps a small
// pool of connections per peer, with at most MaxConnectionsPerPeer connections.
// A connection returns to the pool only after a successful call. A call that
// times out closes its connection and every idle connection to the same peer,
// because connections over the same network path usually fail together, and each
// of them would cost another timeout.
//
// The server refuses an unknown method, a wrong secret, an oversized or malformed
// message and a message without a header in the same way: it closes the
// connection and records event 2701 without calling the service. The maximum
// message size of all methods limits what the server buffers per connection, and
// MaxConnections limits the number of connections, and MaxHandshakes that of connections
// whose first call has not shown the secret (handshake.go).
//
// Shutdown: when the context of Serve ends, the server closes the listener,
// accepts no further calls, lets the calls in progress complete and closes each
// connection a short delay after its last reply. Serve returns after the last
// connection is closed; the longest call limits that time.
//
// The timeout of a claim is the deadline of the context, limited to one
// minute, because claimMs is a setting; the default in this package is 500 ms.
// Options.OnHeader, which docs/design.md does not mention, passes the header of
// every accepted message to a callback, for the settings and the membership.
//
// State: none except open connections. The tests use loopback sockets.
package peer
