// Package peer carries the messages between entries: drpc over TCP.
//
// The service is declared in peerpb. Every call has an upper bound for its
// duration and for the size of either message (see limits.go), a header on
// both messages, and the shared peer secret in its drpc metadata. The secret
// is compared in constant time.
//
// A drpc connection carries one call at a time. Client therefore keeps a small
// pool of connections per peer and opens at most MaxPerPeer of them. A
// connection goes back to the pool only after a call that ended well. A call
// that reached its deadline closes its connection and every idle one to that
// peer, because connections through the same path usually go silent together
// and each would cost a further deadline.
//
// The server refuses an unknown call, a wrong secret, an oversized or
// malformed message and a message without a header in the same way: it closes
// the connection and records event 2701, and the service is not called.
// The largest message of any call bounds what the server buffers for a
// connection; MaxConnections bounds the number of connections.
//
// Shutdown: when the context of Serve ends, the listener is closed, no further
// call is accepted, calls in progress get their reply, and each connection is
// closed a moment after its last reply. Serve returns after the last of them;
// the longest call bounds that time.
//
// A claim may wait as long as the caller's context says, up to one minute,
// because claimMs is a setting; 500 ms is its default here. Options.Seen, which
// docs/design.md does not name, shows the header of every accepted message to
// the settings and the membership.
//
// State: none beyond open connections. The tests run over loopback sockets.
package peer
