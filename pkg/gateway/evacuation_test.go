package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/outlier"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/routing"
	"lentilpin/standin/pipe"
)

// evacuate passes each gateway an instance list in which the backend server of port 9000+n is
// in failure domain "zone-n" and the given ones are evacuated.
func (f *fixture) evacuate(domains ...string) {
	var list []platform.Instance
	for _, domain := range domains {
		list = append(list, platform.Instance{Name: domain, Kind: platform.KindFailureDomain, FailureDomain: domain, State: platform.StateEvacuated})
	}
	for i := range len(f.backends) {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		list = append(list, platform.Instance{
			Kind: platform.KindBackend, Service: "shop", Address: address, ID: address, State: platform.StateLive, FailureDomain: zoneOf(address),
		})
	}
	for _, g := range f.gateways {
		g.UpdateInstances(list)
	}
}

// zoneOf returns the failure domain of the backend server with an address.
func zoneOf(address string) string { return "zone-" + address[len(address)-1:] }

// evacuated returns the state of the backend server of zone-0 in the first gateway.
func (f *fixture) evacuated() *routing.Server { return f.service().routingSet.Evacuated()[0] }

func (f *fixture) service() *service { return f.gateways[0].service("shop") }

// Guards against a request, a load query or a health check that is sent to a backend server
// whose failure domain was evacuated while it waited for a connection.
func TestEvacuationWithdrawsWhatWaits(t *testing.T) {
	for _, tt := range []struct {
		desc string
		send func(f *fixture) response
	}{
		{"idempotent", func(f *fixture) response { return f.send(f.gateways[0], read("a")) }},
		{"not idempotent", func(f *fixture) response { return f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute))) }},
		{"health check", func(f *fixture) response {
			f.service().checkCrash(f.service().routingSet.Servers()[0])
			return f.send(f.gateways[0], read("a"))
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1, 3)
				defer f.close()
				f.evacuate()
				f.delayDials(200 * time.Millisecond)
				answered := make(chan response)
				go func() { answered <- tt.send(f) }()
				time.Sleep(100 * time.Millisecond)
				chosen := f.dialedAddresses()[0]
				f.evacuate(zoneOf(chosen))
				require.Equal(t, http.StatusOK, (<-answered).Code)
				require.Equal(t, 1, f.countRuns("a"))
				time.Sleep(5 * time.Second)
				require.Empty(t, f.backends[chosen].Requests())
			})
		})
	}
}

// Guards against a request that is sent to an evacuated failure domain right after a pause of
// the process, and against requests that are not sent at all while the store is silent.
func TestEvacuationDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		defer f.close()
		f.evacuate("zone-1")
		var isCurrent atomic.Bool
		f.gateways[0].options.IsListCurrent = isCurrent.Load
		f.delayDials(0)
		answered := make(chan response)
		go func() { answered <- f.send(f.gateways[0], read("a")) }()
		synctest.Wait()
		require.Equal(t, []string{"127.0.0.1:9000"}, f.dialedAddresses())
		f.evacuate("zone-0")
		isCurrent.Store(true)
		require.Equal(t, http.StatusOK, (<-answered).Code)
		require.Empty(t, f.backends["127.0.0.1:9000"].Requests())
		isCurrent.Store(false)
		require.Equal(t, http.StatusOK, f.send(f.gateways[0], read("b")).Code)
	})
}

// Guards against a request that waits in the queue although every failure domain with backend
// servers has been evacuated.
func TestEvacuationEndsWaitInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, 1, 1, strings.Replace(treeText, `"timeoutMs": 1000`, `"timeoutMs": 1000, "queue": {"maxWaitMs": 900}`, 1))
		defer f.close()
		f.evacuate()
		s := f.service()
		for s.routingSet.Pick(s.now(), nil) != nil {
		}
		answered := make(chan response)
		go func() { answered <- f.send(f.gateways[0], read("a")) }()
		synctest.Wait()
		start := time.Now()
		f.evacuate("zone-0")
		require.Contains(t, (<-answered).Body.String(), reasonEvacuated)
		require.Zero(t, time.Since(start))
	})
}

// Guards against requests that wait, are handed to peers or are reported as an outage when
// every failure domain with backend servers is evacuated, and against a service that stays
// refused afterwards.
func TestEvacuationOfAllFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 2)
		defer f.close()
		f.evacuate("zone-0", "zone-1", "elsewhere")
		for _, r := range []*http.Request{read("a"), order("b", f.owners[0].Issue(time.Minute))} {
			start := time.Now()
			got := f.send(f.gateways[0], r)
			require.Zero(t, time.Since(start))
			require.Equal(t, http.StatusServiceUnavailable, got.Code)
			require.Equal(t, "not_run", got.Header().Get(runHeader))
			require.NotEmpty(t, got.Header().Get("Retry-After"))
			require.Contains(t, got.Body.String(), reasonEvacuated)
		}
		require.Zero(t, f.countHandedOn())
		require.False(t, f.service().reach.IsCut())
		f.evacuate()
		require.Equal(t, http.StatusOK, f.send(f.gateways[0], read("c")).Code)
	})
}

// Guards against work in progress that an evacuation ends, and against a drain mark or a
// backoff that is lost when it ends.
func TestEvacuationKeepsStateAndWorkInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		defer f.close()
		f.evacuate("zone-1")
		release := make(chan struct{})
		f.backends["127.0.0.1:9000"].SetScript(func() { <-release }, pipe.Serve)
		answered := make(chan response)
		go func() { answered <- f.send(f.gateways[0], read("a")) }()
		time.Sleep(100 * time.Millisecond)
		f.evacuate("zone-0")
		close(release)
		require.Equal(t, http.StatusOK, (<-answered).Code)

		s, server := f.service(), f.evacuated()
		s.outliers.MarkDraining(s.now(), server.Key(), outlier.SourceResponse)
		s.backOff(server, time.Minute)
		f.evacuate()
		require.Same(t, server, s.routingSet.Server(server.Key()))
		require.Zero(t, server.Weight())
		require.True(t, server.IsBackingOff())
		require.False(t, s.mayStart(server, s.now()))
	})
}

// Guards against a cut that is assumed, or that lasts, because backend servers of an
// evacuated failure domain do not respond.
func TestEvacuationIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 3)
		defer f.close()
		f.evacuate("zone-2")
		f.cutFromBackends(0, cut{addresses: []string{"127.0.0.1:9000", "127.0.0.1:9001"}})
		time.Sleep(time.Second)
		f.send(f.gateways[0], read("a"))
		f.send(f.gateways[0], read("b"))
		require.True(t, f.service().reach.IsCut())
		f.evacuate("zone-0", "zone-1")
		require.False(t, f.service().reach.IsCut())
		require.Equal(t, http.StatusOK, f.send(f.gateways[0], read("c")).Code)
	})
}

// Guards against operators who do not learn which failure domain is evacuated and how many
// backend servers that concerns.
func TestEvacuationIsReported(t *testing.T) {
	var log lineRecorder
	g := &Gateway{options: Options{Recorder: &log}, evacuatedGauge: tally.NoopScope.Gauge("")}
	g.current.Store(&snapshot{})
	zone := platform.Instance{Kind: platform.KindFailureDomain, FailureDomain: "zone-0", State: platform.StateEvacuated}
	server := platform.Instance{Kind: platform.KindBackend, FailureDomain: "zone-0"}
	for _, list := range [][]platform.Instance{{server}, {zone, server}, {zone, server, server}, {server}} {
		g.UpdateInstances(list)
	}
	require.Equal(t, lineRecorder{"evacuation_begun {failure_domain zone-0}", "evacuation_ended {failure_domain zone-0}"}, log)
	g.UpdateInstances([]platform.Instance{zone, server, server})
	require.Equal(t, 2, g.EvacuatedDomains()[0].Backends)
}
