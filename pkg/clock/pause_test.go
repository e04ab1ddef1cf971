package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/clock/clocktest"
)

// Guards against a pause that is missed because only some of the clocks advanced,
// and against a pause that is reported because the wall clock was set back.
func TestPauseDetectorChecksAllClocks(t *testing.T) {
	tests := []struct {
		desc string
		move func(*clocktest.Manual)
		want bool
	}{
		{"short gap", func(m *clocktest.Manual) { m.Advance(900 * time.Millisecond) }, false},
		{"stopped process", func(m *clocktest.Manual) { m.Advance(2 * time.Second) }, true},
		{"suspended machine", func(m *clocktest.Manual) { m.Suspend(2 * time.Second) }, true},
		{"wall clock set back", func(m *clocktest.Manual) { m.SetWall(time.Unix(0, 0)) }, false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			m := clocktest.NewManual()
			var gap time.Duration
			d := clock.NewPauseDetector(m, time.Second, func(g time.Duration) { gap = g })
			tc.move(m)
			d.Check()
			require.Equal(t, tc.want, gap > 0)
		})
	}
}
