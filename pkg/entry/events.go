package entry

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

// Events of the process.
var (
	EventStarted = events.NewChange(1001, logrus.InfoLevel, "started", "the entry has opened its listeners")
	EventLeaving = events.NewChange(1002, logrus.InfoLevel, "leaving", "a graceful shutdown has begun")
	EventCutOff  = events.NewChange(1003, logrus.ErrorLevel, "requests_cut_off", "requests did not end within the grace time and were cut off")
	EventStopped = events.New(1004, logrus.InfoLevel, "stopped", "the entry has stopped")
)
