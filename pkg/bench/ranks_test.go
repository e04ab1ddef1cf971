package bench_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/bench"
)

// share returns a count of requests as a share of those that arrived in the burst.
func share(k bench.KindResult, n int) float64 { return float64(n) / float64(k.Requests) }

func runRanks(t *testing.T, s bench.RankScenario, ranked bool) *bench.RankResult {
	r, err := bench.RunRanks(s, ranked, 1)
	require.NoError(t, err)
	return r
}

// scaledDown returns the scenarios with half of the backend servers.
func scaledDown() []bench.RankScenario {
	list := bench.RankScenarios(10)
	for i := range list {
		for d, n := range list[i].FailureDomains {
			list[i].FailureDomains[d] = (n + 1) / 2
		}
	}
	return list
}

// Guards against a burst of one kind that takes the capacity of more urgent ones, and
// against a kind that is starved by more urgent ones. It replays the bursts of both
// deployments of docs/hard-load.md, scaled down to 10 entries.
func TestPriorityUnderBurst(t *testing.T) {
	for _, s := range scaledDown() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			calm := s
			calm.Kinds = append([]bench.RankedKind(nil), s.Kinds...)
			for i := range calm.Kinds {
				calm.Kinds[i].BurstFactor = 1
			}
			without, today, ranked := runRanks(t, calm, true), runRanks(t, s, false), runRanks(t, s, true)
			var mean, total, totalToday float64
			for i, k := range ranked.Kinds {
				mean += share(k, k.Served) / float64(len(ranked.Kinds))
				total += float64(k.Served)
				totalToday += float64(today.Kinds[i].Served)
			}
			for i, k := range ranked.Kinds {
				require.GreaterOrEqual(t, share(k, k.Served), mean/4, "a quarter of the mean share: %s", k.Kind)
				if i < len(ranked.Kinds)-1 {
					calmShare := share(without.Kinds[i], without.Kinds[i].Served)
					require.GreaterOrEqual(t, share(k, k.Served), 0.98*calmShare, "without the burst %s", without.Lines()[i])
					require.Greater(t, k.InTarget, today.Kinds[i].InTarget, today.Lines()[i])
					require.LessOrEqual(t, k.LateRefusals, k.Requests/100)
				}
			}
			require.GreaterOrEqual(t, total, 0.9*totalToday, "headroom must not leave slots unused")
		})
	}
}

// Guards against refusals of requests that there is room for, because ranks differ.
func TestPriorityWithoutOverload(t *testing.T) {
	for _, s := range scaledDown() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			s.Load, s.Burst = 0.5, 2*time.Second
			for i := range s.Kinds {
				s.Kinds[i].BurstFactor = 1
			}
			today := runRanks(t, s, false)
			for i, k := range runRanks(t, s, true).Kinds {
				require.GreaterOrEqual(t, share(k, k.Served), share(k, today.Kinds[i].Served)-0.01, today.Lines()[i])
				require.LessOrEqual(t, k.Refusals, k.Requests/100)
			}
		})
	}
}
