package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/settings"
	"lentilpin/standin/pipe"
)

// rankedTree returns a settings tree with one idempotent route for each priority; the
// request readRanked(i) uses the route of the i-th priority.
func rankedTree(version int, policy string, priorities ...int) string {
	var routes []string
	for i, p := range priorities {
		routes = append(routes, fmt.Sprintf(`{"host": "example.com", "pathPrefix": "/route-%d/", "idempotent": true, "targetLatencyMs": 800, "priority": %d, "services": [{"service": "shop", "weight": 1}]}`, i, p))
	}
	return fmt.Sprintf(`{"version": %d, "fleet": {"defaults": {"timeoutMs": 2000, "requireKey": false, "routing": {"policy": %q}, "queue": {"maxWaitMs": 50, "adaptiveLimit": false},
		"outlier": {"slowStartMs": 0}}}, "callers": {"retryAfterMs": 100, "fractionalRetryAfter": true},
		"regions": {"r": {"services": {"shop": {}}}}, "routes": [%s]}`, version, policy, strings.Join(routes, ","))
}

func readRanked(route int) *http.Request {
	r := httptest.NewRequest(http.MethodGet, fmt.Sprintf("/route-%d/items", route), nil)
	r.Header.Set(pipe.TokenHeader, "t")
	r.Header.Set(timeoutHeader, "1500")
	return r
}

// fillBackends lets all backend servers report a load and makes it known.
func (f *fixture) fillBackends(load int) {
	for _, b := range f.backends {
		b.SetLoad(load)
	}
	for range 20 {
		time.Sleep(150 * time.Millisecond) // reports are queried again
		f.send(f.gateways[0], readRanked(0))
	}
}

// Guards against less urgent requests that take the capacity of more urgent ones, against
// refusals that are held for long or call all callers back at one moment, against ranks
// that outlive the settings that state them, and against a rank that starves.
func TestPriorityInOverload(t *testing.T) {
	for _, policy := range []string{"lentilpin", "fresh"} {
		t.Run(policy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 1, 3, rankedTree(1, policy, 3, 7))
				defer f.close()
				g := f.gateways[0]
				f.fillBackends(0)
				for range 20 {
					require.Equal(t, http.StatusOK, f.send(g, readRanked(1)).Code, "no overload")
				}
				f.fillBackends(11)
				retryAfters := map[string]bool{}
				refuse := func() {
					start := time.Now()
					got := f.send(g, readRanked(1))
					require.Equal(t, http.StatusServiceUnavailable, got.Code)
					require.Equal(t, "not_run", got.Header().Get(runHeader))
					require.Contains(t, got.Body.String(), reasonOutranked)
					require.LessOrEqual(t, time.Since(start), 100*time.Millisecond, "an eighth of the target latency")
					seconds, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
					require.NoError(t, err)
					require.LessOrEqual(t, seconds, 0.5, "a third of the caller's time")
					retryAfters[got.Header().Get("Retry-After")] = true
					require.Equal(t, http.StatusOK, f.send(g, readRanked(0)).Code)
				}
				for range 5 {
					refuse()
				}
				require.Greater(t, len(retryAfters), 3)
				record, ok := g.auditLog.FindRequest(f.send(g, readRanked(1)).Header().Get(requestIDHeader))
				require.True(t, ok)
				require.Equal(t, 7, record.Admission.Priority)
				require.Equal(t, 1, record.Admission.Rank)
				require.Positive(t, record.Admission.HeadroomRatio)

				require.Equal(t, settings.ResultAdopted, g.options.Store.Offer([]byte(rankedTree(2, policy, 7, 7)), "test"))
				got := f.send(g, readRanked(1))
				require.Equal(t, http.StatusOK, got.Code, "one priority is in use: %s", got.Body)
				require.Equal(t, settings.ResultAdopted, g.options.Store.Offer([]byte(rankedTree(3, policy, 3, 7)), "test"))
				const requests = 200
				served := 0
				for i := range 2 * requests { // in the first half the rank is still served less for what it had before
					f.send(g, readRanked(0))
					if f.send(g, readRanked(1)).Code == http.StatusOK && i >= requests {
						served++
					}
				}
				require.GreaterOrEqual(t, 4*served, (requests+served)/2, "a quarter of the mean share")
				require.Less(t, served, requests)
			})
		})
	}
}

// Guards against a peer that admits a request by other ranks than the instance that hands
// it on, and against an older build that states none.
func TestPriorityOfRequestOfPeer(t *testing.T) {
	priority := 7
	for _, tt := range []struct {
		desc    string
		handoff handoff
		rank    int
		ranked  bool
	}{
		{"stated", handoff{Priority: &priority, TargetLatencyMS: 800}, 1, true},
		{"not stated", handoff{}, 0, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 1, 1, rankedTree(1, "lentilpin", 3, 7))
				defer f.close()
				r, ok := (&call{g: f.gateways[0], svc: f.gateways[0].service("shop"), handoff: &tt.handoff}).ranked()
				require.Equal(t, tt.ranked, ok)
				require.Equal(t, tt.rank, r.rank)
				require.Equal(t, dynamic.MillisToDuration(tt.handoff.TargetLatencyMS), r.target)
			})
		})
	}
}

// Guards against a peer that is avoided by urgent requests because it has refused a less
// urgent one, and against refusals that are held by one peer after another.
func TestPriorityOfRequestsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, 3, 3, rankedTree(1, "lentilpin", 3, 7))
		defer f.close()
		for _, b := range f.backends {
			b.SetLoad(11)
		}
		for range 30 {
			f.send(f.gateways[1], readRanked(0))
			f.send(f.gateways[2], readRanked(0))
		}
		f.cutFromBackends(0, cut{})
		for range 10 {
			f.send(f.gateways[0], readRanked(0))
			time.Sleep(50 * time.Millisecond)
		}
		require.True(t, f.gateways[0].service("shop").reach.IsCut())
		start := time.Now()
		got := f.send(f.gateways[0], readRanked(1))
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		require.Contains(t, got.Body.String(), reasonOutranked)
		require.Equal(t, "not_run", got.Header().Get(runHeader))
		require.Empty(t, got.Header().Get(refusalHeader), "between instances only")
		require.LessOrEqual(t, time.Since(start), 100*time.Millisecond, "an eighth of the target latency")
		record, _ := f.gateways[0].auditLog.FindRequest(got.Header().Get(requestIDHeader))
		require.Len(t, record.Attempts, 1)
		require.Equal(t, handoffRefused, record.Attempts[0].Result)
		for range 2 {
			require.Equal(t, http.StatusOK, f.send(f.gateways[0], readRanked(0)).Code)
		}
		for address := range 3 {
			require.False(t, f.gateways[0].service("shop").peers.isAvoided(f.gateways[0].now(), fmt.Sprint(address)))
		}
	})
}

// eventNames is a recorder of the names of events with their ranks.
type eventNames struct {
	mu    sync.Mutex
	names []string
}

func (e *eventNames) Record(event *events.Event, fields ...events.Field) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range fields {
		if f.Name == "rank" {
			e.names = append(e.names, fmt.Sprint(event.Name, " ", f.Value))
		}
	}
}

// Guards against an overload that operators learn nothing of, or by one event for each
// refusal.
func TestPriorityShedEvents(t *testing.T) {
	stats := rankStats{scope: tally.NoopScope}
	recorder := &eventNames{}
	for _, refusals := range []int{0, 5, 7, 0, 0} {
		for range refusals {
			stats.count(1, reasonOutranked)
		}
		stats.count(0, resultAdmitted)
		stats.report(recorder, "shop")
	}
	require.Equal(t, []string{"rank_shed 1", "rank_served 1"}, recorder.names)
}
