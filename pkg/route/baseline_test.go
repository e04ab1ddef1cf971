package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
)

// Guards against a hedge that leaves no time for its response, that duplicates
// most requests, or that starts after the target latency has passed.
func TestHedgeDelay(t *testing.T) {
	for _, tt := range []struct {
		desc             string
		baseline, target int // milliseconds
		want             int
	}{
		{"tight target: as late as the target allows", 160, 400, 196},
		{"loose target: at most twice the baseline", 64, 500, 128},
		{"target too short: not before most responses have arrived", 200, 300, 240},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			r := &Route{Route: dynamic.Route{TargetLatencyMS: tt.target}, BaselineLatency: &BaselineLatency{}}
			_, ok := r.HedgeDelay()
			require.False(t, ok, "no response observed yet")
			r.BaselineLatency.Observe(time.Duration(tt.baseline)*time.Millisecond, 0)
			delay, ok := r.HedgeDelay()
			require.True(t, ok)
			require.Equal(t, tt.want, int(delay.Milliseconds()))
		})
	}
	r := &Route{BaselineLatency: &BaselineLatency{}}
	r.BaselineLatency.Observe(time.Millisecond, 1)
	_, ok := r.HedgeDelay()
	require.False(t, ok, "no target latency")
}

// Guards against slow backend servers and single outliers that raise the
// baseline latency.
func TestBaselineLatency(t *testing.T) {
	b := &BaselineLatency{}
	for i := range 400 {
		slowdown := 1.0
		if i%4 == 0 {
			slowdown = 7
		}
		b.Observe(time.Duration(100*slowdown)*time.Millisecond, slowdown)
	}
	require.InDelta(t, 100, b.Latency().Milliseconds(), 1)
	b.Observe(time.Hour, 1)
	require.Less(t, b.Latency(), 110*time.Millisecond)
}
