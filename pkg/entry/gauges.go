package entry

import (
	"context"
	"time"
)

// gaugePeriod is how often the gauges of the process are set.
const gaugePeriod = time.Second

// reportGauges shows the settings version in force, the age of what is known of
// the platform's store and the number of instances, until the context ends.
func (e *Entry) reportGauges(ctx context.Context) {
	version := e.metrics.Scope.Gauge("settings_version")
	age := e.metrics.Scope.Gauge("store_age_seconds")
	members := e.metrics.Scope.Gauge("instances")
	tick := time.NewTicker(gaugePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		version.Update(float64(e.store.Version()))
		members.Update(float64(e.table.Size()))
		if e.feed != nil {
			age.Update(e.feed.Age().Seconds())
		}
	}
}
