package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/settings"
)

// Guards against requests that are refused because a new service is served before it has
// its backend servers.
func TestNewServiceHasItsBackendServers(t *testing.T) {
	g, store := newGatewayWithoutSettings(func() (bool, string) { return true, "" })
	g.options.OrdinalConflict, g.options.Instances = func() bool { return true }, func() int { return 1 }
	const versions = 300
	var list []platform.Instance
	for v := range versions {
		list = append(list, platform.Instance{Kind: platform.KindBackend, Service: fmt.Sprintf("s%d", v+1), Address: "127.0.0.1:9000", State: platform.StateLive})
	}
	g.UpdateInstances(list)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := uint64(0); version < versions; {
			current := g.current.Load()
			if version = current.version; version == 0 {
				continue
			}
			for _, s := range current.list {
				if len(s.routingSet.Servers()) == 0 {
					t.Errorf("%s has no backend servers in version %d", s.name, version)
					return
				}
			}
		}
	}()
	for v := 1; v <= versions; v++ {
		text := fmt.Appendf(nil, `{"version": %d, "regions": {"r": {"services": {"s%d": {}}}}}`, v, v)
		require.Equal(t, settings.ResultAdopted, store.Offer(text, "test"))
	}
	<-done
}

// newGatewayWithoutSettings returns a gateway without settings, with the given
// Options.Ready, and its settings store.
func newGatewayWithoutSettings(ready func() (bool, string)) (*Gateway, *settings.Store) {
	c := timeClock{}
	keyring := ledger.NewKeyring([]string{"0123456789abcdef0123456789abcdef"})
	store := settings.NewStore(events.Discard{}, c)
	return New(Options{
		Instance: "entry", Region: "r", Store: store,
		Owner: ledger.NewOwner(ledger.OwnerOptions{Address: "127.0.0.1:1", Clock: c, Keyring: keyring, Recorder: events.Discard{}}),
		Log:   audit.New(1, 1), Recorder: events.Discard{}, Scope: tally.NoopScope,
		Ready: ready, NotifyPeers: func() {},
	}), store
}

// Guards against a 404 response after the settings store has received its first
// version and before the gateway has applied it. In a benchmark run, eleven
// requests got such a response after all entries had restarted at once.
func TestUnavailableBeforeFirstSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGatewayWithoutSettings(func() (bool, string) { return true, "" })
		w := httptest.NewRecorder()
		g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/shop/items/1", nil))
		require.Equal(t, http.StatusServiceUnavailable, w.Code)
	})
}

// Guards against a caller that has left being recorded as refused.
func TestCallerLeavesBeforeFirstSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGatewayWithoutSettings(func() (bool, string) { return false, "" })
		ctx, cancel := context.WithTimeout(t.Context(), readinessTimeout/2)
		defer cancel()
		g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/shop/items/1", nil).WithContext(ctx))
		require.Equal(t, map[audit.Outcome]uint64{
			audit.OutcomeAnswered: 0, audit.OutcomeNotRun: 0, audit.OutcomeUnknown: 0, audit.OutcomeRan: 0, audit.OutcomeAborted: 1,
		}, g.auditLog.Totals().RequestsByResult)
	})
}

// Guards against a refusal when the settings arrive shortly after the request,
// and against a wait without bound when they never arrive. After a power
// failure all entries start at once, and callers retry once: a request waits for the start,
// but not so long that no time is left to serve it.
func TestRequestWaitsForTheSettings(t *testing.T) {
	for _, tt := range []struct {
		desc       string
		wasReady   bool
		timeout    string // as the caller states it
		readyAfter time.Duration
		want       string // reason of the refusal
		waited     time.Duration
	}{
		{"ready at once", false, "", 0, reasonUnknownService, 0},
		{"ready after 25 ms", false, "", 25 * time.Millisecond, reasonUnknownService, 30 * time.Millisecond},
		{"ready after 0.9 s", false, "", 900 * time.Millisecond, reasonUnknownService, 900 * time.Millisecond},
		{"ready after 0.9 s, in time", false, "2000", 900 * time.Millisecond, reasonUnknownService, 900 * time.Millisecond},
		{"ready after 0.9 s, too late", false, "1000", 900 * time.Millisecond, reasonNotReady, 500 * time.Millisecond},
		{"invalid timeout", false, "x", 900 * time.Millisecond, reasonUnknownService, 900 * time.Millisecond},
		{"never ready", false, "", time.Hour, reasonNotReady, startTimeout},
		{"never ready, short timeout", false, "20", time.Hour, reasonNotReady, readinessTimeout},
		{"not ready again", true, "", time.Hour, reasonNotReady, readinessTimeout},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				g, store := newGatewayWithoutSettings(func() (bool, string) { return time.Since(start) >= tt.readyAfter, "" })
				require.Equal(t, settings.ResultAdopted, store.Offer([]byte(treeText), "test"))
				g.wasReady.Store(tt.wasReady)
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodGet, "/nothing/1", nil)
				if tt.timeout != "" {
					r.Header.Set(timeoutHeader, tt.timeout)
				}
				g.ServeHTTP(w, r)
				require.Contains(t, w.Body.String(), `"reason":"`+tt.want+`"`)
				require.Equal(t, tt.waited, time.Since(start), "virtual time")
			})
		})
	}
}
