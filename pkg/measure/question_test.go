package measure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against questions that cost more than their budget where backend servers
// take many short requests, and against none at all before the first response.
func TestQuestionShare(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		load    float64
		latency time.Duration
		want    float64
	}{
		{"few long requests", 2, 160 * time.Millisecond, 1},
		{"many short ones", 3, 10 * time.Millisecond, 60.0 / 900},
		{"nothing known", 0, 0, 1},
		{"idle", 0, time.Second, 1},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			require.InDelta(t, tt.want, QuestionShare(60, 3, tt.load, tt.latency), 1e-9)
		})
	}
}
