package transport

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

var (
	eventUnsolicited = events.NewChange(5001, logrus.WarnLevel, "unsolicited_bytes",
		"a backend server sent bytes that belong to no request; its connections are not reused for a while")
	eventSilent = events.NewChange(5002, logrus.WarnLevel, "silent_connection",
		"a connection without a byte was retired while a newer one to the same backend server works")
	eventTruncated = events.New(5003, logrus.WarnLevel, "response_truncated",
		"a backend server cut a response short")
	eventMalformed = events.New(5004, logrus.WarnLevel, "response_malformed",
		"a backend server sent a response that is not valid, not framed or too large")
	eventMismatch = events.NewChange(5005, logrus.ErrorLevel, "response_mismatch",
		"a response does not prove that it belongs to the request and was refused")
	eventTimeoutRetired = events.New(5006, logrus.InfoLevel, "idle_retired",
		"an attempt timed out; the idle connections to that backend server were closed")
	eventExtra = events.New(5007, logrus.WarnLevel, "extra_bytes",
		"a backend server sent bytes after a whole response; the connection was closed")
	eventSkipped = events.New(5008, logrus.WarnLevel, "late_response_skipped",
		"a response of an earlier exchange came first and was dropped")
)
