package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
)

// Guards against a hedge that leaves no time for its response, that sends most
// requests twice, or that comes after the target has passed.
func TestHedgeDelay(t *testing.T) {
	for _, tt := range []struct {
		desc          string
		usual, target int // milliseconds
		want          int
	}{
		{"little room: as late as the target allows", 160, 400, 196},
		{"much room: not later than twice the usual", 64, 500, 128},
		{"no room: not before most have answered", 200, 300, 240},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			r := &Route{Route: dynamic.Route{TargetLatencyMS: tt.target}, Usual: &Usual{}}
			_, ok := r.HedgeDelay()
			require.False(t, ok, "no response yet")
			r.Usual.Observe(time.Duration(tt.usual)*time.Millisecond, 0)
			delay, ok := r.HedgeDelay()
			require.True(t, ok)
			require.Equal(t, tt.want, int(delay.Milliseconds()))
		})
	}
	r := &Route{Usual: &Usual{}}
	r.Usual.Observe(time.Millisecond, 1)
	_, ok := r.HedgeDelay()
	require.False(t, ok, "no target")
}

// Guards against slow machines that raise the usual latency.
func TestUsualLatency(t *testing.T) {
	u := &Usual{}
	for i := range 400 {
		slowdown := 1.0
		if i%4 == 0 {
			slowdown = 7
		}
		u.Observe(time.Duration(100*slowdown)*time.Millisecond, slowdown)
	}
	require.InDelta(t, 100, u.Latency().Milliseconds(), 1)
	u.Observe(time.Hour, 1)
	require.Less(t, u.Latency(), 110*time.Millisecond)
}
