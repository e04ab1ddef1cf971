package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against load queries that exceed their budget where backend servers take
// many short requests, and against no load queries at all before the first
// response.
func TestLoadQueryShare(t *testing.T) {
	for _, tt := range []struct {
		desc       string
		inProgress float64
		latency    time.Duration
		want       float64
	}{
		{"few long requests", 2, 160 * time.Millisecond, 1},
		{"many short requests", 3, 10 * time.Millisecond, 60.0 / 900},
		{"no response yet", 0, 0, 1},
		{"no request in progress", 0, time.Second, 1},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			require.InDelta(t, tt.want, LoadQueryShare(60, 3, tt.inProgress, tt.latency), 1e-9)
		})
	}
}
