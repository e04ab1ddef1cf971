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

// service is a configuration service without sockets that keeps the times of
// all calls.
type service struct {
	mu      sync.Mutex
	calls   []time.Duration
	start   time.Time
	down    bool
	version uint64
	changed chan struct{}
}

func (s *service) set(down bool, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.version = down, version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) RoundTrip(r *http.Request) (*http.Response, error) {
	var after uint64
	_ = json.Unmarshal([]byte(r.URL.Query().Get("after")), &after)
	s.mu.Lock()
	s.calls = append(s.calls, time.Since(s.start))
	s.mu.Unlock()
	wait := time.After(pollWait)
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
		case <-wait:
			return reply(http.StatusNotModified, "")
		case <-changed:
		}
	}
}

func seeded(seed uint64) func(time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	return func(n time.Duration) time.Duration { return time.Duration(random.Int64N(int64(n))) }
}

// peak returns the most calls in any second of [from, to).
func peak(calls []time.Duration, from, to time.Duration) (most int) {
	slices.Sort(calls)
	first := 0
	for i, c := range calls {
		for c-calls[first] >= time.Second {
			first++
		}
		if c >= from && c < to {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against a fleet that exceeds the 2,000 calls per second of the
// configuration service: at a common start, when every pending watch breaks in
// the same moment, when the service returns after an outage with a newer tree,
// and while a change is published every second.
func TestFleetStaysBelowTheLimitOfTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 2000
		s := &service{start: time.Now(), changed: make(chan struct{}), version: 1}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range uint64(instances) {
			wg.Go(func() {
				c := NewClient("http://service", 1<<20, events.Discard{})
				c.http.Transport = s
				c.tree = newSeededPacer(seeded(i))
				var after uint64
				for ctx.Err() == nil {
					if version, _, err := c.WatchTree(ctx, after); err == nil {
						after = version
					}
				}
			})
		}
		version, marks := uint64(1), map[string]time.Duration{}
		mark := func(name string) { marks[name] = time.Since(s.start) }
		time.Sleep(40 * time.Second)
		mark("down")
		s.set(true, version)
		time.Sleep(2 * time.Minute)
		mark("up")
		s.set(false, version+1)
		time.Sleep(time.Minute)
		mark("changes")
		for range 12 {
			version++
			s.set(false, version+1)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		end := time.Since(s.start)
		t.Logf("%d instances, most calls in one second: start %d, outage %d, return %d, change every second %d", instances,
			peak(s.calls, 0, marks["down"]), peak(s.calls, marks["down"], marks["up"]),
			peak(s.calls, marks["up"], marks["changes"]), peak(s.calls, marks["changes"], end))
		require.LessOrEqual(t, peak(s.calls, 0, end), 2000)
	})
}

// Guards against a client that calls more often than once per second on
// average with a burst of two, whatever the service replies.
func TestPacerBoundsCalls(t *testing.T) {
	for desc, replies := range map[string]int{"at once and nothing new": 1, "mixed": 3} {
		synctest.Test(t, func(t *testing.T) {
			p := newSeededPacer(seeded(1))
			random := rand.New(rand.NewPCG(1, 1))
			start := time.Now()
			for calls := 1; calls <= 500; calls++ {
				require.NoError(t, p.wait(t.Context()))
				require.LessOrEqual(t, calls, int(time.Since(start).Seconds()*callsPerSecond)+callBurst, desc)
				switch random.IntN(replies) {
				case 0:
					p.unchanged()
				case 1:
					p.changed()
				case 2:
					p.fail()
					require.Less(t, p.pause, backoffMax)
				}
			}
		})
	}
}
