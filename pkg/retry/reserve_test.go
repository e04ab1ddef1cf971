package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/retry"
)

// Guards against hedges that leave no budget for retries.
func TestHedgesLeaveHalfForRetries(t *testing.T) {
	b := retry.NewBudget(dynamic.Retry{BudgetRatio: 1, MinPerSecond: 0, Burst: burst})
	for range 100 {
		b.Request(0)
	}
	hedges, retries := 0, 0
	for b.TakeHedge(0) {
		hedges++
	}
	for b.Take(0) {
		retries++
	}
	require.Equal(t, burst/2, hedges)
	require.Equal(t, burst/2, retries)
}

// Guards against a reserve that forbids every hedge where the bucket of an instance
// of a large fleet holds little more than one attempt.
func TestHedgesOfLargeFleets(t *testing.T) {
	for _, instances := range []int{19, 107, 1000} {
		b := retry.NewBudget(dynamic.Retry{BudgetRatio: 0.2, Burst: 3, FleetBurst: 170})
		b.Instances(instances)
		for range 100 {
			b.Request(0)
		}
		require.True(t, b.TakeHedge(0), "%d instances", instances)
	}
}

// Guards against a fleet whose instances together hold more extra attempts than the
// bound over all of them, and against one so large that none may retry at all.
func TestFleetBurst(t *testing.T) {
	for _, tt := range []struct {
		desc         string
		fleet        float64
		instances    int
		wantCapacity float64
	}{
		{"no bound", 0, 1000, burst},
		{"few instances: the bound of one", 64, 2, burst},
		{"each its part", 64, 19, fleetShare * 64 / 19},
		{"more instances than attempts", 64, 300, 1},
		{"not known yet", 64, 0, burst},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b := retry.NewBudget(dynamic.Retry{BudgetRatio: 1, Burst: burst, FleetBurst: tt.fleet})
			b.Instances(tt.instances)
			b.Instances(1) // an instance that is cut off from the others
			require.InDelta(t, tt.wantCapacity, b.Capacity(), 1e-9)
			for range 100 {
				b.Request(0)
			}
			require.LessOrEqual(t, b.Tokens(), tt.wantCapacity)
		})
	}
}

// fleetShare is the part of the bound that package retry uses.
const fleetShare = 0.8
