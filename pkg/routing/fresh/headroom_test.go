package fresh_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against less urgent requests that fill backend servers up to the load at which
// the most urgent ones are refused, and against refusals while the load is unknown.
func TestPriorityLeavesHeadroom(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		server   int // 0: own failure domain, 1: another one
		slowdown float64
		load     int32
		headroom float64
		want     bool
	}{
		{"no headroom, nearly the highest cost", 0, 1, 14, 0, true},
		{"no headroom, above the highest cost", 0, 1, 16, 0, false},
		{"full headroom, all slots but one are occupied", 0, 1, 5, 0.7, true},
		{"full headroom, requests wait for slots", 0, 1, 8, 0.7, false},
		{"half of the headroom", 0, 1, 8, 0.35, true},
		{"full headroom, slow", 0, 2.5, 0, 0.7, false},
		{"full headroom, another failure domain, no penalty", 1, 1, 5, 0.7, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixtureWithMaxCost(1, 1, 4)
			f.report(tt.server, tt.slowdown, min(tt.load, 6), max(0, tt.load-6))
			require.Equal(t, tt.want, f.policy.LeavesHeadroom(now, f.servers[tt.server], tt.headroom))
		})
	}
	f := newFixtureWithMaxCost(1, 0, 4)
	require.True(t, f.policy.LeavesHeadroom(now, f.servers[0], 0.7), "no load is known")
}
