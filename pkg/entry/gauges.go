package entry

import (
	"context"
	"time"
)

// gaugeInterval is the interval at which the gauges of the process are updated.
const gaugeInterval = time.Second

// updateGauges exports the settings version in force, the time since the last
// answer of the platform's store or a relay, and the number of instances, until
// the context ends.
func (e *Entry) updateGauges(ctx context.Context) {
	version := e.metrics.Scope.Gauge("settings_version")
	storeAge := e.metrics.Scope.Gauge("store_age_seconds")
	instances := e.metrics.Scope.Gauge("instances")
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		version.Update(float64(e.settingsStore.Version()))
		instances.Update(float64(e.memberTable.LiveInstances()))
		if e.feed != nil {
			storeAge.Update(e.feed.SinceLastUpdate().Seconds())
		}
	}
}
