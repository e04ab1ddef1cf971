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
