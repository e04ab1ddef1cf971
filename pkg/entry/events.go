package entry

import (
	"github.com/sirupsen/logrus"

	"lentilpin/pkg/events"
)

// Events of the entry process.
var (
	EventStarted              = events.NewChange(1001, logrus.InfoLevel, "started", "the entry has opened its listeners")
	EventLeaving              = events.NewChange(1002, logrus.InfoLevel, "leaving", "a graceful shutdown has begun")
	EventRequestsCutOff       = events.NewChange(1003, logrus.ErrorLevel, "requests_cut_off", "requests did not end within the grace time and were cut off")
	EventSettingsFileReloaded = events.NewChange(1005, logrus.InfoLevel, "settings_file_reloaded", "the settings file was reloaded; its seed peers are in force")
	EventSettingsFileRefused  = events.NewChange(1006, logrus.ErrorLevel, "settings_file_refused", "the changed settings file is invalid and was ignored")
	EventLogLinesDropped      = events.New(1007, logrus.WarnLevel, "log_lines_dropped", "the reader of the log stream was too slow and log lines were dropped")
	EventStopRepeated         = events.New(1008, logrus.InfoLevel, "stop_repeated", "another signal to stop arrived during the shutdown and has no effect")
	EventStopped              = events.New(1004, logrus.InfoLevel, "stopped", "the entry has stopped")
)
