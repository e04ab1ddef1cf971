package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/retry"
)

// Guards against hedges that exhaust the budget for retries.
func TestHedgesLeaveHalfForRetries(t *testing.T) {
	b := retry.NewBudget(dynamic.Retry{BudgetRatio: 1, MinPerSecond: 0, Burst: burst})
	for range 100 {
		b.RecordFirstAttempt(0)
	}
	hedges, retries := 0, 0
	for b.TakeHedge(0) {
		hedges++
	}
	for b.TakeRetry(0) {
		retries++
	}
	require.Equal(t, burst/2, hedges)
	require.Equal(t, burst/2, retries)
}

// Guards against a reserve that prevents every hedge if the capacity is little more
// than one token, as it is for each instance of a large fleet.
func TestHedgesOfLargeFleets(t *testing.T) {
	for _, instances := range []int{19, 107, 1000} {
		b := retry.NewBudget(dynamic.Retry{BudgetRatio: 0.2, Burst: 3, FleetBurst: 170})
		b.Instances(instances)
		for range 100 {
			b.RecordFirstAttempt(0)
		}
		require.True(t, b.TakeHedge(0), "%d instances", instances)
	}
}

// Guards against instances whose capacities together exceed the limit over all
// instances, and against a capacity below one token, with which no instance of a
// large fleet could retry.
func TestFleetBurst(t *testing.T) {
	for _, tt := range []struct {
		desc         string
		fleetBurst   float64
		instances    int
		wantCapacity float64
	}{
		{"no limit over all instances", 0, 1000, burst},
		{"few instances, burst of one instance is lower", 64, 2, burst},
		{"limit is divided among instances", 64, 19, fleetBurstShare * 64 / 19},
		{"more instances than extra attempts", 64, 300, 1},
		{"number of instances unknown", 64, 0, burst},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			b := retry.NewBudget(dynamic.Retry{BudgetRatio: 1, Burst: burst, FleetBurst: tt.fleetBurst})
			b.Instances(tt.instances)
			b.Instances(1) // the instance is partitioned from the others
			require.InDelta(t, tt.wantCapacity, b.Capacity(), 1e-9)
			for range 100 {
				b.RecordFirstAttempt(0)
			}
			require.LessOrEqual(t, b.Tokens(), tt.wantCapacity)
		})
	}
}

// fleetBurstShare must equal the constant in package retry.
const fleetBurstShare = 0.8
