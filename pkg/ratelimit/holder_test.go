package ratelimit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/ratelimit"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/routing/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// source grants permits after wait, or denies them. It implements ratelimit.Source.
type source struct {
	wait   time.Duration
	denied bool
	calls  atomic.Int32
}

func (s *source) Take(context.Context, ratelimit.Query) (time.Duration, bool) {
	s.calls.Add(1)
	return s.wait, !s.denied
}

func (s *source) Issuer(*routing.Server) string { return "issuer" }

// holderTest is a holder with one rate-limited backend server.
type holderTest struct {
	*ratelimit.Holder
	source        *source
	server        *routing.Server
	start         time.Time
	wakes, unused atomic.Int32
}

// runHolderTest runs a test in virtual time.
func runHolderTest(t *testing.T, run func(*testing.T, *holderTest)) {
	synctest.Test(t, func(t *testing.T) {
		h := &holderTest{source: &source{}, start: time.Now()}
		h.server = server.New(server.Backend{Address: "a"}, true, server.NewServiceStats(time.Second), 10)
		h.state(5)
		h.Holder = ratelimit.NewHolder(ratelimit.HolderOptions{
			Source: h.source, Now: h.now, Go: func(f func()) { go f() }, Wake: func() { h.wakes.Add(1) },
			Ended: func(wasUnused bool) {
				if wasUnused {
					h.unused.Add(1)
				}
			},
		})
		run(t, h)
		time.Sleep(time.Minute) // ends all timers
	})
}

func (h *holderTest) now() time.Duration { return time.Since(h.start) }

// state makes the backend server state a rate limit.
func (h *holderTest) state(perSecond float64) {
	h.server.SetRateLimit(h.now(), server.RateLimit{Stated: true, PerSecond: perSecond})
}

// request requests permits as the gateway does periodically, for some time.
func (h *holderTest) request(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		h.Request([]*routing.Server{h.server}, false)
	}
}

// use begins an attempt and reports whether a permit allowed it.
func (h *holderTest) use() bool {
	if !h.server.BeginAttempt() {
		return false
	}
	h.server.EndAttempt(h.now(), 0, server.Canceled)
	h.Used(h.server)
	return true
}

// Guards against more than one request for each permit.
func TestOneRequestForEachPermit(t *testing.T) {
	runHolderTest(t, func(t *testing.T, h *holderTest) {
		h.source.wait = 200 * time.Millisecond
		require.False(t, h.use(), "no permit yet")
		h.request(100 * time.Millisecond)
		require.False(t, h.use(), "the permit is reserved for later")
		wait, ok := h.NextPermit()
		require.True(t, ok)
		require.InDelta(t, 100*time.Millisecond, wait, float64(11*time.Millisecond))
		h.request(150 * time.Millisecond)
		require.True(t, h.use())
		require.EqualValues(t, 1, h.wakes.Load())
		require.False(t, h.use(), "the permit is used")
		used := 0
		for range 100 {
			if h.use() {
				used++
			}
			h.request(20 * time.Millisecond)
		}
		require.LessOrEqual(t, used, 10, "in 2 s at one in 200 ms")
		require.GreaterOrEqual(t, used, 8)
	})
}

// Guards against permits that are used long after they were issued, and against an
// idle instance that takes the permits that others need.
func TestUnusedPermitsExpire(t *testing.T) {
	runHolderTest(t, func(t *testing.T, h *holderTest) {
		h.request(20 * time.Millisecond)
		time.Sleep(time.Second)
		require.False(t, h.use())
		require.EqualValues(t, 1, h.unused.Load())
		h.request(time.Minute)
		require.LessOrEqual(t, h.source.calls.Load(), int32(20), "unused permits in a minute")
		for !h.use() {
			h.request(10 * time.Millisecond)
		}
		before := h.source.calls.Load()
		h.request(2 * time.Second)
		require.Greater(t, h.source.calls.Load(), before, "a used permit ends the long pauses")
	})
}

// Guards against permits that outlast the rate limit for which they were issued.
func TestChangedRateLimitRevokesPermits(t *testing.T) {
	runHolderTest(t, func(t *testing.T, h *holderTest) {
		h.request(20 * time.Millisecond)
		h.state(1)
		require.False(t, h.use())
		h.server.SetRateLimit(h.now(), server.RateLimit{})
		for range 20 {
			require.True(t, h.use(), "no permit is needed")
		}
	})
}

// Guards against an issuer that is asked all the time although it denies permits.
func TestDenialsAreHeeded(t *testing.T) {
	runHolderTest(t, func(t *testing.T, h *holderTest) {
		h.source.denied, h.source.wait = true, time.Second
		h.request(10*time.Second + 500*time.Millisecond)
		require.LessOrEqual(t, h.source.calls.Load(), int32(11))
		wait, ok := h.NextPermit()
		require.False(t, ok)
		require.InDelta(t, 500*time.Millisecond, wait, float64(20*time.Millisecond), "until the next request for a permit")
	})
}
