package entry

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

// Events of the process.
var (
	EventStarted       = events.NewChange(1001, logrus.InfoLevel, "started", "the entry has opened its listeners")
	EventLeaving       = events.NewChange(1002, logrus.InfoLevel, "leaving", "a graceful shutdown has begun")
	EventCutOff        = events.NewChange(1003, logrus.ErrorLevel, "requests_cut_off", "requests did not end within the grace time and were cut off")
	EventReloaded      = events.NewChange(1005, logrus.InfoLevel, "settings_file_reloaded", "the settings file was read again; its seeds are in force")
	EventReloadRefused = events.NewChange(1006, logrus.ErrorLevel, "settings_file_refused", "the changed settings file is wrong and was not taken")
	EventLinesDropped  = events.New(1007, logrus.WarnLevel, "log_lines_dropped", "the reader of the log stream was too slow and lines were dropped")
	EventStopped       = events.New(1004, logrus.InfoLevel, "stopped", "the entry has stopped")
)
