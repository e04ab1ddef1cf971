package platform

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
)

// fakeService is an http.RoundTripper that acts as the configuration service and
// records the times of all calls.
type fakeService struct {
	mu      sync.Mutex
	calls   []time.Duration
	start   time.Time
	down    bool
	version uint64
	changed chan struct{}
}

func (s *fakeService) setState(down bool, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.version = down, version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeService) RoundTrip(r *http.Request) (*http.Response, error) {
	var after uint64
	_ = json.Unmarshal([]byte(r.URL.Query().Get("after")), &after)
	s.mu.Lock()
	s.calls = append(s.calls, time.Since(s.start))
	s.mu.Unlock()
	timeout := time.After(maxPollWait)
	for {
		s.mu.Lock()
		down, version, changed := s.down, s.version, s.changed
		s.mu.Unlock()
		reply := func(code int, body string) (*http.Response, error) {
			time.Sleep(2 * time.Millisecond)
			return &http.Response{StatusCode: code, Body: io.NopCloser(strings.NewReader(body))}, nil
		}
		switch {
		case down:
			return reply(http.StatusServiceUnavailable, "")
		case version > after:
			text, _ := json.Marshal(map[string]any{"version": version, "value": map[string]any{"version": version}})
			return reply(http.StatusOK, string(text))
		}
		select {
		case <-r.Context().Done():
			return nil, r.Context().Err()
		case <-timeout:
			return reply(http.StatusNotModified, "")
		case <-changed:
		}
	}
}

// seededRandom returns a deterministic source of random durations.
func seededRandom(seed uint64) func(time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(n time.Duration) time.Duration { return time.Duration(random.Int64N(int64(n))) }
}

// peakCallsPerSecond returns the largest number of calls within any second that
// ends in [from, to).
func peakCallsPerSecond(calls []time.Duration, from, to time.Duration) (most int) {
	slices.Sort(calls)
	first := 0
	for i, call := range calls {
		for call-calls[first] >= time.Second {
			first++
		}
		if call >= from && call < to {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against a fleet that exceeds the limit of the configuration service of
// 2,000 calls per second: when all instances start together, when every pending
// long poll fails at the same moment, when the service recovers from an outage
// with a newer tree, and while a change is published every second.
func TestFleetStaysBelowServiceRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 2000
		s := &fakeService{start: time.Now(), changed: make(chan struct{}), version: 1}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range uint64(instances) {
			wg.Go(func() {
				c := NewClient("http://service", 1<<20, events.Discard{})
				c.http.Transport = s
				c.treePacer = newPacerWithRandom(seededRandom(i))
				var after uint64
				for ctx.Err() == nil {
					if version, _, err := c.WatchTree(ctx, after); err == nil {
						after = version
					}
				}
			})
		}
		version, phaseStart := uint64(1), map[string]time.Duration{}
		markPhase := func(name string) { phaseStart[name] = time.Since(s.start) }
		time.Sleep(40 * time.Second)
		markPhase("down")
		s.setState(true, version)
		time.Sleep(2 * time.Minute)
		markPhase("up")
		s.setState(false, version+1)
		time.Sleep(time.Minute)
		markPhase("changes")
		for range 12 {
			version++
			s.setState(false, version+1)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		end := time.Since(s.start)
		t.Logf("%d instances, peak calls per second: start %d, outage %d, recovery %d, change every second %d", instances,
			peakCallsPerSecond(s.calls, 0, phaseStart["down"]), peakCallsPerSecond(s.calls, phaseStart["down"], phaseStart["up"]),
			peakCallsPerSecond(s.calls, phaseStart["up"], phaseStart["changes"]), peakCallsPerSecond(s.calls, phaseStart["changes"], end))
		require.LessOrEqual(t, peakCallsPerSecond(s.calls, 0, end), 2000)
	})
}

// Guards against a client that exceeds one call per second on average with a
// burst of two, whatever the service replies.
func TestPacerLimitsCallRate(t *testing.T) {
	for desc, replies := range map[string]int{"immediate replies without a newer value": 1, "mixed": 3} {
		synctest.Test(t, func(t *testing.T) {
			p := newPacerWithRandom(seededRandom(1))
			random := rand.New(rand.NewPCG(1, 1))
			start := time.Now()
			for calls := 1; calls <= 500; calls++ {
				require.NoError(t, p.wait(t.Context()))
				require.LessOrEqual(t, calls, int(time.Since(start).Seconds()*callsPerSecond)+callBurst, desc)
				switch random.IntN(replies) {
				case 0:
					p.onUnchanged()
				case 1:
					p.onChange()
				case 2:
					p.onFailure()
					require.Less(t, p.delay, maxBackoff)
				}
			}
		})
	}
}
