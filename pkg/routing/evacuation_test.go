package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing"
)

// Guards against a policy that selects an evacuated backend server, against shares that count
// evacuated ones, and against a state that is lost with the evacuation.
func TestEvacuationInEachPolicy(t *testing.T) {
	for _, policy := range append(policies, "fresh") {
		t.Run(policy, func(t *testing.T) {
			const n = 30
			list := backends(n)
			set := newSet(t, policy, n)
			known := set.Server(list[0].Key())
			known.SetRateLimit(0, routing.RateLimit{Stated: true, PerSecond: 1})
			for i := range list {
				list[i].IsEvacuated = list[i].FailureDomain == "a" // that of the instance
			}
			require.Empty(t, set.Update(0, list))
			require.Len(t, set.Servers(), n*2/3)
			require.Len(t, set.Evacuated(), n/3)
			require.False(t, known.BeginAttempt(), "a decision on the previous list")
			require.Empty(t, set.RateLimited())
			require.Empty(t, set.PermitCandidates())
			picked := 0
			for s := set.Pick(0, nil); s != nil; s = set.Pick(0, nil) {
				require.NotEqual(t, "a", s.FailureDomain())
				picked++
			}
			require.Positive(t, picked)
			require.Equal(t, []string{routing.ReasonEvacuated}, set.Explain(0, known.Key()).Reasons)

			for i := range list {
				list[i].IsEvacuated = false
			}
			require.Len(t, set.Update(0, list), n/3)
			require.Same(t, known, set.Server(list[0].Key()))
			require.Zero(t, known.Weight(), "until the state of the outlier detector is applied")
			require.Equal(t, []*routing.Server{known}, set.RateLimited())
			require.False(t, set.HasEvacuated())
		})
	}
}
