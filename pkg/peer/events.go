package peer

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventRequestRefused = events.New(2701, logrus.WarnLevel, "peer_request_refused",
		"a peer sent a message that is not accepted; its connection was closed")
	eventReplyRefused = events.New(2702, logrus.WarnLevel, "peer_reply_refused",
		"a request to a peer or its reply is not accepted on this side; the call failed")
	eventCallTimeout = events.New(2703, logrus.WarnLevel, "peer_call_timeout",
		"a call to a peer reached its deadline; its connection and the idle ones were closed")
	eventServeTimeout = events.New(2704, logrus.WarnLevel, "peer_request_timeout",
		"a peer's call did not complete within its bound; its connection was closed")
	eventAcceptFailed = events.New(2705, logrus.WarnLevel, "peer_accept_failed",
		"a connection of a peer could not be accepted")
	eventConnectionLimit = events.New(2706, logrus.WarnLevel, "peer_connection_limit",
		"the peer listener holds the most connections that it may; a new one was closed")
)
