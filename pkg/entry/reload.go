package entry

import (
	"context"
	"os"
	"time"

	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
)

// reloadPeriod is how often the settings file is looked at: it may change
// without a signal.
const reloadPeriod = 2 * time.Second

// FollowSettings reads the settings file again whenever it has changed or a signal
// arrives, until the context ends. Seeds take effect at once; what else a file
// states, addresses above all, holds from the next start. A file that is wrong
// changes nothing.
func (e *Entry) FollowSettings(ctx context.Context, path string, load func(path string) (*static.Settings, error), signals <-chan os.Signal) {
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	last := stamp(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-tick.C:
			if stamp(path) == last {
				continue
			}
		}
		last = stamp(path)
		conf, err := load(path)
		if err != nil {
			e.rec.Record(EventReloadRefused, events.F("path", path), events.F("error", err.Error()))
			continue
		}
		e.table.SetSeeds(conf.SeedPeers)
		e.rec.Record(EventReloaded, events.F("path", path), events.F("seeds", conf.SeedPeers))
	}
}

// ReportDropped records the log lines that were dropped, which dropped counts, until
// the context ends.
func (e *Entry) ReportDropped(ctx context.Context, dropped func() uint64) {
	tick := time.NewTicker(reloadPeriod)
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
			e.rec.Record(EventLinesDropped, events.F("lines", n-reported))
			counter.Inc(int64(n - reported))
			reported = n
		}
	}
}

// fileStamp tells two versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{} // the load that follows reports it
	}
	return fileStamp{info.ModTime(), info.Size()}
}
