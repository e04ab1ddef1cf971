package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an instance without requests that holds the permits that others need,
// and against one that asks for few after it had none for some time.
func TestDemandFollowsUse(t *testing.T) {
	d := newDemand()
	require.True(t, d.allows(0, 3))
	require.False(t, d.allows(0, 4))
	for range 10 {
		d.ended(0, false)
	}
	require.True(t, d.allows(time.Second, 0), "one permit is always reserved")
	require.False(t, d.allows(time.Second, 1))
	for range 40 {
		d.ended(time.Second, true)
	}
	require.True(t, d.allows(time.Second, 10))
	for range 10 {
		d.ended(time.Second, false)
	}
	require.True(t, d.allows(time.Second+demandLifetime+1, 0))
	require.True(t, d.allows(time.Second+demandLifetime+1, 3), "another part of the backend servers may be cold")
}
