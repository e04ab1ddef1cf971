package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing"
	"lentilpin/standin/pipe"
)

// Guards against a hedge that waits although the backend server of the first attempt is
// known to be slow, that repeats a request which is long itself, that starts too late for
// the target latency, and that ignores the budget of the service or of all services. The
// load: reads of 50 ms, one of which takes 400 ms.
func TestHedgeFollowsReports(t *testing.T) {
	for _, tt := range []struct {
		desc       string
		retry      string // further settings
		targetMS   int
		slowdown   float64 // reported at 30 ms and 140 ms; 0: no report
		wantMS     int64
		wantReason string // of a refusal; empty: sent
	}{
		{"first server known to be slow: sent early", "", 300, 7, 50, ""},
		{"no report: sent after the delay", "", 300, 0, 100, ""},
		{"first server at its usual speed", "", 300, 1, 400, "first_not_slow"},
		{"target latency too short", "", 70, 7, 400, "too_late"},
		{"budget of the service used up", `, "hedgeRatio": 0.5`, 300, 0, 400, "service_budget"},
		{"budget of all services used up", `, "fleetHedgeRatio": 0.5`, 300, 0, 400, "fleet_budget"},
		{"hedges turned off", `, "hedgeRatio": 0`, 300, 7, 400, "off"},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			tree := strings.Replace(strings.TrimSuffix(treeText, "}"), `"timeoutMs": 1000, "attemptTimeoutMs": 300`,
				`"timeoutMs": 1000, "attemptTimeoutMs": 900, "retry": {"burst": 1, "minPerSecond": 1`+tt.retry+`}`, 1) +
				fmt.Sprintf(`, "routes": [{"host": "example.com", "pathPrefix": "/shop/", "idempotent": true, "targetLatencyMs": %d, "services": [{"service": "shop"}]}]}`, tt.targetMS)
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 1, 2, tree)
				defer f.close()
				g := f.gateways[0]
				g.current.Load().routes.Lookup("example.com", "/shop/").BaselineLatency.Observe(50*time.Millisecond, 1)
				for _, b := range f.backends {
					b.SetScript(func() { f.setFaults() }, pipe.Slow)
				}
				if tt.slowdown > 0 {
					f.loops.Go(func() { f.reportSlowdown(tt.slowdown) })
				}
				start := time.Now()
				require.Equal(t, http.StatusOK, f.send(g, read("a")).Code)
				require.Equal(t, tt.wantMS, time.Since(start).Milliseconds())
				time.Sleep(pipe.SlowDelay) // until the canceled attempt has ended at its backend server
				view := g.Hedges()[0]
				if tt.wantReason == "" {
					require.Equal(t, []uint64{1, 1, 0}, []uint64{view.Sent, view.Won, view.Canceled})
					return
				}
				require.Zero(t, view.Sent)
				if tt.wantReason != "off" {
					require.Positive(t, view.Refused[tt.wantReason])
				}
			})
		})
	}
}

// reportSlowdown records reports of the backend server that has an attempt in flight, as
// other requests would bring them.
func (f *fixture) reportSlowdown(slowdown float64) {
	s := f.gateways[0].service("shop")
	for _, wait := range []time.Duration{30 * time.Millisecond, 110 * time.Millisecond} {
		time.Sleep(wait)
		for _, server := range s.routingSet.Servers() {
			if server.Inflight() > 0 {
				server.RecordReport(s.now(), routing.Report{Inflight: 1, Slots: 6, Slowdown: slowdown}, 0)
			}
		}
	}
}
