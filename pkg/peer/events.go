package peer

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventRequestRefused = events.New(2701, logrus.WarnLevel, "peer_request_refused",
		"a request from a peer was refused; its connection was closed")
	eventReplyRefused = events.New(2702, logrus.WarnLevel, "peer_reply_refused",
		"this instance refused a request to a peer or the reply to it; the call failed")
	eventCallTimeout = events.New(2703, logrus.WarnLevel, "peer_call_timeout",
		"a call to a peer timed out; its connection and the idle connections to the peer were closed")
	eventRequestTimeout = events.New(2704, logrus.WarnLevel, "peer_request_timeout",
		"a call from a peer did not complete within its time limit; its connection was closed")
	eventAcceptFailed = events.New(2705, logrus.WarnLevel, "peer_accept_failed",
		"accepting a connection from a peer failed")
	eventHandshakeLimit = events.New(2707, logrus.WarnLevel, "peer_handshake_limit",
		"a connection to the peer listener whose first call had not shown the secret was closed, after its time or for a newer one; at most 20 events about refused peers in 10 s")
	eventConnectionLimit = events.New(2706, logrus.WarnLevel, "peer_connection_limit",
		"the peer listener has reached its maximum number of connections; a new connection was closed")
)
