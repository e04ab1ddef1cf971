package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/admission"
)

const ms = time.Millisecond

// Guards against ranks that depend on the values of priorities instead of their order, and
// against settings with many priorities that make every decision slow.
func TestPriorityRanks(t *testing.T) {
	for _, tt := range []struct {
		desc       string
		priorities []int
		priority   int
		rank       int
		differ     bool
	}{
		{"no route", nil, 3, 0, false},
		{"one priority, stated twice", []int{5, 5}, 5, 0, false},
		{"the most urgent of three", []int{9, 0, 4}, 0, 0, true},
		{"the last of three", []int{9, 0, 4}, 9, 2, true},
		{"a priority that is not in use ranks with the next", []int{9, 0, 4}, 3, 1, true},
		{"more priorities than ranks", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 9, admission.MaxRanks - 1, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			ranks := admission.NewRanks(tt.priorities)
			require.Equal(t, tt.rank, ranks.Rank(tt.priority))
			require.Equal(t, tt.differ, ranks.Differ())
		})
	}
}

// Guards against headroom for requests that must be served as without ranks, and against
// less urgent requests that get more than more urgent ones although none has starved.
func TestPriorityHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admission.NewController()
		ranks := rapid.IntRange(1, 4).Draw(t, "ranks")
		priorities := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "priorities")[:ranks]
		c.Configure(admission.NewRanks(priorities), 0.7)
		now := time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			rank := rapid.IntRange(0, 5).Draw(t, "rank")
			now += rapid.SampledFrom([]time.Duration{0, 10 * ms, time.Second}).Draw(t, "gap")
			c.Arrived(now, rank)
			c.Admitted(now, rank)
			occupancy := rapid.Float64Range(0, 5).Draw(t, "occupancy")
			last := 0.0
			for i := range ranks {
				h := c.Headroom(now, i, occupancy)
				if h < last || h > 0.7 || i == 0 && h != 0 || occupancy == 0 && h != 0 {
					t.Fatalf("headroom %f of rank %d after %f", h, i, last)
				}
				last = h
			}
		}
	})
}

// Guards against a rank that is refused for good while a more urgent one takes everything,
// and against a rank that keeps the access of a starved one after it has been served.
func TestPriorityAging(t *testing.T) {
	c := admission.NewController()
	c.Configure(admission.NewRanks([]int{0, 1}), 0.7)
	now := time.Duration(0)
	second := func(lowAdmitted bool) {
		now += time.Second
		c.Arrived(now, 0)
		c.Admitted(now, 0)
		c.Arrived(now, 1)
		if lowAdmitted {
			c.Admitted(now, 1)
		}
	}
	second(true)
	require.Greater(t, c.Headroom(now, 1, 2), 0.6)
	require.Equal(t, 1, c.QueueRank(now, 1))
	for range 12 {
		second(false)
	}
	require.Zero(t, c.Headroom(now, 1, 2))
	require.Zero(t, c.QueueRank(now, 1))
	require.Equal(t, 1.0, c.State(now)[1].Aging)
	for range 12 {
		second(true)
	}
	require.Greater(t, c.Headroom(now, 1, 2), 0.6)

	require.Greater(t, c.ArrivalsPerAdmission(now), 1.1)
	c.Configure(admission.NewRanks([]int{1}), 0.7)
	require.Equal(t, 1.0, c.ArrivalsPerAdmission(now), "as without ranks")
	c.Configure(admission.NewRanks([]int{0, 1, 2}), 0.7)
	require.InDelta(t, 1, c.State(now)[0].AdmittedShare, 0.01)
	require.Less(t, c.State(now)[1].AdmittedShare, 0.9, "a priority that remains in use keeps its counts")
}

// Guards against waits after which the response is late, and against refusals that are
// held for longer than they cost nothing.
func TestPriorityWait(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		timing admission.Timing
		want   admission.Wait
	}{
		{"no target latency", admission.Timing{Left: time.Second, MinWait: 50 * ms, MaxShare: 0.5}, admission.Wait{Max: 50 * ms, Hold: 50 * ms}},
		{"target less service time", admission.Timing{Target: 800 * ms, Service: 300 * ms, Left: 2 * time.Second, MinWait: 50 * ms, MaxShare: 0.5}, admission.Wait{Max: 480 * ms, Hold: 88 * ms}},
		{"no time left for a wait", admission.Timing{Target: 500 * ms, Service: 490 * ms, Left: time.Second, MinWait: 50 * ms, MaxShare: 0.5}, admission.Wait{Max: 50 * ms, Hold: 50 * ms}},
		{"at most half of the time to the deadline", admission.Timing{Target: 2 * time.Second, Service: 100 * ms, Left: 600 * ms, MinWait: 50 * ms, MaxShare: 0.5}, admission.Wait{Max: 300 * ms, Hold: 220 * ms}},
		{"time that has passed counts", admission.Timing{Target: 800 * ms, Elapsed: 60 * ms, Service: 300 * ms, Left: 2 * time.Second, MinWait: 10 * ms, MaxShare: 0.5}, admission.Wait{Max: 420 * ms, Hold: 28 * ms}},
	} {
		t.Run(tt.desc, func(t *testing.T) { require.Equal(t, tt.want, admission.NewWait(tt.timing)) })
	}
}

// Guards against callers that all come back at the same moment, too late for their target
// latency, or not at all because the time is longer than they wait.
func TestPriorityRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		desc             string
		target           time.Duration
		expected, left   time.Duration
		earliest, latest time.Duration
	}{
		{"within the target latency", 500 * ms, 0, 1500 * ms, 50 * ms, 280 * ms},
		{"less than a third of the time left", 2 * time.Second, 100 * ms, 1500 * ms, 100 * ms, 450 * ms},
		{"room after more than a third", 500 * ms, time.Second, 900 * ms, 270 * ms, 270 * ms},
		{"the target latency cannot be met", 500 * ms, 200 * ms, 1500 * ms, 200 * ms, 450 * ms},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			timing := admission.Timing{Target: tt.target, Service: 200 * ms}
			require.Equal(t, tt.earliest, admission.RetryAfter(timing, tt.expected, tt.left, 0))
			require.Equal(t, tt.latest, admission.RetryAfter(timing, tt.expected, tt.left, 1))
		})
	}
}
