package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/retry"
)

// Guards against hedges that are sent although the request itself is long or the response
// would be late, and against reports that are too old to say so. The load: reads of 290 ms
// with a target latency of 800 ms.
func TestHedgeCheck(t *testing.T) {
	const ms = time.Millisecond
	usual := retry.FirstServer{Reported: true, ReportAge: 10 * ms, Slowdown: 1}
	slow, old, waiting, silent, unstated := usual, usual, usual, usual, usual
	slow.Slowdown, old.ReportAge, waiting.Queued, silent.Reported, unstated.Slowdown = 7, 200*ms, 1, false, 0
	for _, tt := range []struct {
		desc    string
		elapsed time.Duration
		first   retry.FirstServer
		want    retry.HedgeDecision
		isSlow  bool
		recheck bool
	}{
		{"slow", 447 * ms, slow, retry.HedgeSent, true, false},
		{"slow, but too late", 520 * ms, slow, retry.HedgeTooLate, true, false},
		{"usual speed", 300 * ms, usual, retry.HedgeFirstNotSlow, false, true},
		{"usual speed, no time for another check", 447 * ms, usual, retry.HedgeFirstNotSlow, false, false},
		{"report too old", 447 * ms, old, retry.HedgeSent, false, false},
		{"may wait for a slot", 447 * ms, waiting, retry.HedgeSent, false, false},
		{"no report since the attempt began", 447 * ms, silent, retry.HedgeSent, false, false},
		{"slowdown not stated", 447 * ms, unstated, retry.HedgeSent, false, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			c := retry.HedgeCheck{Elapsed: tt.elapsed, Target: 800 * ms, Baseline: 290 * ms, First: tt.first}
			require.Equal(t, tt.want, c.Decide())
			require.Equal(t, tt.isSlow, c.First.IsSlow())
			_, recheck := c.RecheckAfter()
			require.Equal(t, tt.recheck, recheck)
		})
	}
}

// Guards against hedges of many entries that together exceed the share of the requests of
// a service or of all services, and against a refusal that uses up another budget. The
// load: 200 entries with few requests each, all of which would be hedged.
func TestHedgeBudgetsOfFleet(t *testing.T) {
	const entries, requests = 200, 300
	first := dynamic.Retry{BudgetRatio: 1, MinPerSecond: 1, Burst: 10, HedgeRatio: 0.05, FleetHedgeRatio: 0.02}
	second := first
	second.HedgeRatio = 0.01
	sent := map[float64]int{}
	for range entries {
		fleet := &retry.HedgeBudget{}
		a, b := retry.HedgeBudgets{Fleet: fleet, Retry: retry.NewBudget(first)}, retry.HedgeBudgets{Fleet: fleet, Retry: retry.NewBudget(second)}
		for i := range requests {
			now := time.Duration(i) * time.Second
			for _, s := range []struct {
				budgets  *retry.HedgeBudgets
				settings *dynamic.Retry
			}{{&a, &first}, {&b, &second}} {
				s.budgets.RecordRequest(s.settings)
				s.budgets.Retry.RecordFirstAttempt(now)
				if s.budgets.Take(now, s.settings) == retry.HedgeSent {
					sent[s.settings.HedgeRatio]++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(sent[0.01]), 0.01*entries*requests)
	require.LessOrEqual(t, float64(sent[0.05]), 0.05*entries*requests)
	require.InDelta(t, 0.02*entries*2*requests, float64(sent[0.05]+sent[0.01]), entries, "the limit over both services is used, not exceeded")

	off := first
	off.HedgeRatio = 0
	a := retry.HedgeBudgets{Fleet: &retry.HedgeBudget{}, Retry: retry.NewBudget(first)}
	for range 100 {
		a.RecordRequest(&first)
	}
	require.Equal(t, retry.HedgeServiceBudget, a.Take(0, &off), "turned off with tokens left")
	require.Equal(t, retry.HedgeRetryBudget, a.Take(0, &first))
	for range 100 {
		a.Retry.RecordFirstAttempt(0)
	}
	for range 2 { // two tokens were saved: 100 requests at 0.02
		require.Equal(t, retry.HedgeSent, a.Take(0, &first))
	}
	require.Equal(t, retry.HedgeFleetBudget, a.Take(0, &first))
}
