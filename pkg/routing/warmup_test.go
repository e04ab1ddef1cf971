package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing"
)

const coldSpan = 3 * time.Second

// coldSet returns a set with one backend server whose requests are limited while it is
// cold.
func coldSet(t *testing.T, left time.Duration) (*routing.Set, *routing.Server) {
	set := newSet(t, "p2c", 0)
	set.LimitWarmups(0, 6.3, coldSpan)
	set.Update(0, []routing.Backend{{Address: "a", WarmupRemaining: left}})
	return set, set.Servers()[0]
}

// Guards against requests to a cold backend server without a permit, from the moment at
// which a statement says that it is cold, and against a limit that outlasts the warm-up.
func TestColdBackendServerNeedsPermit(t *testing.T) {
	const now = time.Second
	for _, tt := range []struct {
		desc  string
		left  time.Duration // in the first instance list
		state func(set *routing.Set, s *routing.Server)
		cold  time.Duration // remaining at now
	}{
		{"warm", 0, func(*routing.Set, *routing.Server) {}, 0},
		{"cold when it is listed", coldSpan, func(*routing.Set, *routing.Server) {}, 2 * time.Second},
		{"the list states more than the longest warm-up", time.Hour, func(set *routing.Set, _ *routing.Server) {
			set.Update(now, []routing.Backend{{Address: "a", WarmupRemaining: time.Hour - now}})
		}, 2 * time.Second},
		{"turns cold in the list", 0, func(set *routing.Set, _ *routing.Server) {
			set.Update(now, []routing.Backend{{Address: "a", WarmupRemaining: coldSpan}})
		}, coldSpan},
		{"turns cold in a response", 0, func(_ *routing.Set, s *routing.Server) { require.True(t, s.SetWarmupLeft(now, time.Minute)) }, time.Minute},
		{"warm in a response", coldSpan, func(_ *routing.Set, s *routing.Server) { require.False(t, s.SetWarmupLeft(now, 0)) }, 0},
		{"an older list after a response", coldSpan, func(set *routing.Set, s *routing.Server) {
			s.SetWarmupLeft(now, 0)
			set.Update(now, []routing.Backend{{Address: "a", WarmupRemaining: coldSpan - now}})
		}, 0},
		{"cold again after an absence", 0, func(set *routing.Set, _ *routing.Server) {
			set.Update(now, nil)
			set.Update(now, []routing.Backend{{Address: "a", WarmupRemaining: coldSpan}})
		}, coldSpan},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			set, s := coldSet(t, tt.left)
			tt.state(set, s)
			s = set.Servers()[0]
			require.Equal(t, tt.cold, s.WarmupLeft(now))
			if tt.cold > 0 {
				require.Nil(t, set.Pick(now, nil))
				require.True(t, set.NeedsPermit(nil))
				s.GrantPermit(now + time.Millisecond)
				require.NotNil(t, set.Pick(now, nil))
				require.Nil(t, set.Pick(now, nil), "one request for each permit")
				require.Contains(t, set.Explain(now, "a").Reasons[0], "cold for another")
			}
			set.EndWarmups(now + tt.cold)
			require.Zero(t, set.ColdCount())
			require.NotNil(t, set.Pick(now+tt.cold, nil))
		})
	}
}

// Guards against permits that an instance uses after it was paused: others have been
// issued since.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	set, s := coldSet(t, coldSpan)
	s.GrantPermit(time.Second)
	require.Nil(t, set.Pick(time.Second+time.Millisecond, nil))
	require.False(t, s.HasPermit())
}

// Guards against requests that were assigned before the backend server turned cold and
// are sent when a connection is at hand.
func TestHasTurnedCold(t *testing.T) {
	_, s := coldSet(t, 0)
	require.False(t, s.HasTurnedCold(time.Second))
	s.SetWarmupLeft(2*time.Second, time.Second)
	require.True(t, s.HasTurnedCold(time.Second))
	require.False(t, s.HasTurnedCold(2*time.Second), "assigned with a permit")
}
