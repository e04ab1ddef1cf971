package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/pipe"
)

const (
	// rateLimitNotice is the time after which a rate limit must hold, and
	// rateLimitWindow the span over which it is measured.
	rateLimitNotice = 3 * time.Second
	rateLimitWindow = 4 * time.Second
)

// allowedInWindow returns the requests that a backend server with a rate limit
// accepts within rateLimitWindow: half as many again as the limit states, and 5.
func allowedInWindow(perSecond float64) int {
	return int(1.5*perSecond*rateLimitWindow.Seconds()) + 5
}

// maxInWindow returns the largest number of arrivals within a window after a point in
// time.
func maxInWindow(arrivals []time.Time, after time.Time, window time.Duration) (most int) {
	first := 0
	for i, at := range arrivals {
		for arrivals[first].Before(after) || at.Sub(arrivals[first]) > window {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// sendSteadily sends requests through every gateway at a constant interval for
// some time and waits for all responses. It returns the number of responses by
// status.
func (f *fixture) sendSteadily(interval, span time.Duration) map[int]int {
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for g := range f.gateways {
		wg.Go(func() {
			time.Sleep(interval * time.Duration(g) / time.Duration(len(f.gateways)))
			for i := range int(span / interval) {
				wg.Go(func() {
					resp := f.send(f.gateways[g], read(fmt.Sprintf("%d-%d", g, i)))
					mu.Lock()
					defer mu.Unlock()
					statuses[resp.Code]++
				})
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return statuses
}

// queryingTreeText is treeText with the policy that queries loads before each
// decision, so that entries learn of a rate limit before their first request.
var queryingTreeText = strings.Replace(treeText, `"outlier"`, `"routing": {"policy": "fresh"}, "outlier"`, 1)

// rateLimitCase is a fleet of instances in front of one backend server without a rate
// limit and three with one.
type rateLimitCase struct {
	desc      string
	instances int
	perSecond float64
	interval  time.Duration // between requests at one instance
}

// requireRateLimitHolds checks that from rateLimitNotice after the backend servers have
// named their limits, none gets more requests than allowed.
func requireRateLimitHolds(t *testing.T, tree string, tt rateLimitCase) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, tt.instances, 4, tree)
		defer f.close()
		f.sendSteadily(tt.interval, 4*time.Second)
		limited := map[string]*pipe.Backend{}
		for address, b := range f.backends {
			if address != "127.0.0.1:9000" {
				limited[address] = b
				b.SetRateLimit(strconv.FormatFloat(tt.perSecond, 'f', -1, 64))
			}
		}
		named := time.Now()
		f.sendSteadily(tt.interval, 15*time.Second)
		for address, b := range limited {
			require.LessOrEqual(t, maxInWindow(b.Arrivals(), named.Add(rateLimitNotice), rateLimitWindow), allowedInWindow(tt.perSecond), address)
		}
	})
}

// Guards against a backend server that gets more requests than the rate limit that
// it states, because every instance observes the limit by itself or not at all.
func TestRateLimitHoldsForAllInstances(t *testing.T) {
	for _, tt := range []rateLimitCase{
		{"one instance", 1, 5, 20 * time.Millisecond},
		{"several instances", 6, 5, 100 * time.Millisecond},
		{"less than one request in 4 s for each instance", 40, 2, 500 * time.Millisecond},
		{"less than one request in 4 s for all instances", 6, 0.2, 100 * time.Millisecond},
		{"no requests at all", 6, 0, 100 * time.Millisecond},
	} {
		t.Run(tt.desc, func(t *testing.T) { requireRateLimitHolds(t, queryingTreeText, tt) })
		t.Run(tt.desc+", no load queries", func(t *testing.T) { requireRateLimitHolds(t, treeText, tt) })
	}
}

// limitAll makes all backend servers state a rate limit; empty: none.
func (f *fixture) limitAll(perSecond string) {
	for _, b := range f.backends {
		b.SetRateLimit(perSecond)
	}
}

// Guards against requests that wait although no backend server can take them, and
// against a refusal that doesn't tell the caller when to come back.
func TestRefusalWhenRateLimitsAreReached(t *testing.T) {
	for _, request := range []func(f *fixture) *http.Request{
		func(*fixture) *http.Request { return read("a") },
		func(f *fixture) *http.Request { return order("a", f.owners[0].Issue(time.Minute)) },
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixtureWith(t, 1, 4, queryingTreeText)
			defer f.close()
			f.sendSteadily(100*time.Millisecond, 4*time.Second)
			f.limitAll("0.1")
			f.sendSteadily(100*time.Millisecond, 5*time.Second)
			start := time.Now()
			got := f.send(f.gateways[0], request(f))
			require.Zero(t, time.Since(start))
			require.Equal(t, http.StatusServiceUnavailable, got.Code)
			require.Contains(t, got.Body.String(), reasonRateLimited)
			require.Equal(t, "not_run", got.Header().Get(runHeader))
			seconds, err := strconv.Atoi(got.Header().Get("Retry-After"))
			require.NoError(t, err)
			require.Greater(t, seconds, 1, "the setting alone")
			require.Zero(t, f.countRuns("a"))
		})
	}
}

// Guards against backend servers that stay without requests after they have stopped to
// state a rate limit.
func TestServiceAfterRateLimits(t *testing.T) {
	for _, tt := range []struct{ desc, tree string }{{"load queries", queryingTreeText}, {"no load queries", treeText}} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 3, 4, tt.tree)
				defer f.close()
				f.limitAll("0")
				f.sendSteadily(100*time.Millisecond, 10*time.Second)
				f.limitAll("")
				time.Sleep(maxRateLimitAge + 2*time.Second)
				statuses := f.sendSteadily(100*time.Millisecond, time.Second)
				require.Equal(t, map[int]int{http.StatusOK: 30}, statuses)
			})
		})
	}
}
