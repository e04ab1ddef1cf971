package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/retry"
)

// Guards against hedges that leave no budget for retries.
func TestHedgesLeaveHalfForRetries(t *testing.T) {
	b := retry.NewBudget(1, 0)
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
	require.Equal(t, retry.Burst/2, hedges)
	require.Equal(t, retry.Burst/2, retries)
}
