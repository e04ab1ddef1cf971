package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/retry"
)

// burst is the default of the setting retry.burst.
const burst = 10

type attempt struct {
	at    time.Duration
	extra bool
}

// Guards against load amplification in an outage: in every time window and for every
// pattern of failures, burst, ratio and constant rate limit the extra attempts.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		rate := rapid.Float64Range(0, 30).Draw(t, "rate")
		b := retry.NewBudget(dynamic.Retry{BudgetRatio: ratio, MinPerSecond: rate, Burst: burst})
		var now time.Duration
		var log []attempt
		take := func(t *rapid.T) {
			for range rapid.IntRange(1, 30).Draw(t, "failures") {
				if b.TakeRetry(now) {
					log = append(log, attempt{now, true})
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					b.RecordFirstAttempt(now)
					log = append(log, attempt{now, false})
				}
			},
			"failures": take,
			"both": func(t *rapid.T) {
				b.RecordFirstAttempt(now)
				log = append(log, attempt{now, false})
				take(t)
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "step"))
			},
			"late clock": func(t *rapid.T) { b.RecordFirstAttempt(now - time.Second); log = append(log, attempt{now, false}) },
		})
		capacity := max(burst, rate)
		for i, from := range log {
			extra, first := 0.0, 0.0
			for _, a := range log[i:] {
				if !a.extra {
					first++
					continue
				}
				extra++
				if allowed := capacity + ratio*first + rate*(a.at-from.at).Seconds(); extra > allowed+1e-6 {
					t.Fatalf("%v extra attempts after %v first ones in %s, allowed %v", extra, first, a.at-from.at, allowed)
				}
			}
		}
	})
}

// Guards against a budget that grants fewer extra attempts than configured.
func TestBudgetGrants(t *testing.T) {
	b := retry.NewBudget(dynamic.Retry{BudgetRatio: 0.1, MinPerSecond: 1, Burst: burst})
	require.True(t, b.TakeRetry(0), "one second of the constant rate at the start")
	require.False(t, b.TakeRetry(0))
	for range 50 {
		b.RecordFirstAttempt(0)
	}
	for range 5 {
		require.True(t, b.TakeRetry(0))
	}
	require.False(t, b.TakeRetry(0))
	require.True(t, b.TakeRetry(time.Second))
	require.False(t, b.TakeRetry(time.Second))
	require.EqualValues(t, 3, b.Refused())
}

type fakeRecorder []string

func (n *fakeRecorder) Record(e *events.Event, _ ...events.Field) { *n = append(*n, e.Name) }

// Guards against an exhausted budget without an event, and against repeated events
// for one exhaustion.
func TestBudgetRecordsEvents(t *testing.T) {
	b := retry.NewBudget(dynamic.Retry{BudgetRatio: 0, MinPerSecond: 0, Burst: burst})
	var recorder fakeRecorder
	for _, refuse := range []bool{false, true, true, false, false} {
		if refuse {
			b.TakeRetry(0)
		}
		b.Report(&recorder, "varasto")
	}
	require.Equal(t, fakeRecorder{"retry_budget_exhausted", "retry_budget_recovered"}, recorder)
}

// Guards against a hedge delay that differs from the percentile by more than the
// precision of the histogram, that is returned before there are enough samples, or
// that does not follow changes of the latency.
func TestHedgeDelay(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	h := retry.NewHedgeDelay(95)
	var latencies []time.Duration
	for i := range 2000 {
		_, ok := h.Delay()
		require.Equal(t, i >= 100, ok)
		l := time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))
		h.Record(l)
		latencies = append(latencies, l)
	}
	slices.Sort(latencies)
	got, _ := h.Delay()
	require.InEpsilon(t, float64(latencies[len(latencies)*95/100]), float64(got), 0.15)
	for range 2000 {
		h.Record(time.Hour)
	}
	got, _ = h.Delay()
	require.InEpsilon(t, float64(time.Minute), float64(got), 0.1, "the upper bound")
	for range 2100 {
		h.Record(-1)
	}
	got, _ = h.Delay()
	require.Less(t, got, 50*time.Microsecond)
}

// Guards against a percentile of the newer histogram alone, which has few samples
// just after the histograms were swapped.
func TestHedgeDelayCoversBothHistograms(t *testing.T) {
	h := retry.NewHedgeDelay(80)
	for range 1000 {
		h.Record(10 * time.Millisecond)
	}
	for range 120 {
		h.Record(time.Second)
	}
	got, _ := h.Delay()
	require.InEpsilon(t, float64(10*time.Millisecond), float64(got), 0.1)
}

func BenchmarkBudget(b *testing.B) {
	budget := retry.NewBudget(dynamic.Retry{BudgetRatio: 0.1, MinPerSecond: 1, Burst: burst})
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordFirstAttempt(0)
		budget.TakeRetry(0)
	}
}

func BenchmarkHedgeRecord(b *testing.B) {
	h := retry.NewHedgeDelay(95)
	b.ReportAllocs()
	for b.Loop() {
		h.Record(5 * time.Millisecond)
		h.Delay()
	}
}
