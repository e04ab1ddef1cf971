package entry

import (
	"context"
	"os"
	"time"

	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
)

// pollInterval is the interval at which the settings file is checked for changes,
// because it may change without a signal, and at which dropped log lines are
// reported.
const pollInterval = 2 * time.Second

// WatchSettingsFile reloads the settings file whenever it has changed or a signal
// arrives, until the context ends. Only the seed peers take effect at once; all
// other settings, such as the listen addresses, apply from the next start. An
// invalid file is recorded as an event and otherwise ignored.
func (e *Entry) WatchSettingsFile(ctx context.Context, path string, load func(path string) (*static.Settings, error), signals <-chan os.Signal) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	loaded := readFileVersion(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-tick.C:
			if readFileVersion(path) == loaded {
				continue
			}
		}
		loaded = readFileVersion(path)
		conf, err := load(path)
		if err != nil {
			e.recorder.Record(EventSettingsFileRefused, events.F("path", path), events.F("error", err.Error()))
			continue
		}
		e.memberTable.SetSeedAddresses(conf.SeedPeers)
		e.recorder.Record(EventSettingsFileReloaded, events.F("path", path), events.F("seeds", conf.SeedPeers))
	}
}

// ReportDroppedLogLines records how many log lines were dropped, as an event and a
// metric, until the context ends. dropped returns the total since the start.
func (e *Entry) ReportDroppedLogLines(ctx context.Context, dropped func() uint64) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	counter := e.metrics.Scope.Counter("log_lines_dropped")
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n := dropped(); n > reported {
			e.recorder.Record(EventLogLinesDropped, events.F("lines", n-reported))
			counter.Inc(int64(n - reported))
			reported = n
		}
	}
}

// fileVersion holds the attributes by which a change of a file is detected.
type fileVersion struct {
	modified time.Time
	size     int64
}

func readFileVersion(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{} // the subsequent load reports the error
	}
	return fileVersion{info.ModTime(), info.Size()}
}
