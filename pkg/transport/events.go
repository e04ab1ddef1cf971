package transport

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventUnsolicitedBytes = events.NewChange(5001, logrus.WarnLevel, "unsolicited_bytes",
		"a backend server sent bytes that belong to no request; its connections are not reused for a while")
	eventSilentConnection = events.NewChange(5002, logrus.WarnLevel, "silent_connection",
		"no response byte arrived on a connection while a newer one to the same backend server works; the connection is not reused")
	eventResponseTruncated = events.New(5003, logrus.WarnLevel, "response_truncated",
		"a response of a backend server was truncated")
	eventResponseMalformed = events.New(5004, logrus.WarnLevel, "response_malformed",
		"a backend server sent a response that is invalid, does not state its length or is too large")
	eventResponseMismatch = events.NewChange(5005, logrus.ErrorLevel, "response_mismatch",
		"a response could not be verified to belong to its request and was rejected")
	eventIdleRetired = events.New(5006, logrus.InfoLevel, "idle_retired",
		"an attempt timed out; the idle connections to that backend server were closed")
	eventExtraBytes = events.New(5007, logrus.WarnLevel, "extra_bytes",
		"a backend server sent bytes after a complete response; the connection was closed")
	eventLateResponseSkipped = events.New(5008, logrus.WarnLevel, "late_response_skipped",
		"a response of an earlier exchange preceded the expected one and was skipped")
)
