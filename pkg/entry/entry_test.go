package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/operator"
	"lentilpin/standin/backend"
)

func fast() backend.Config { return backend.Config{ServiceTime: "const:1"} }

// Guards against a second run when a caller repeats an order at another entry.
func TestOrderRepeatedAtAnotherEntry(t *testing.T) {
	c := newCluster(t, 2, fast(), fast())
	key := c.key(0)
	first := c.do(http.MethodPost, c.callers(0), "/shop/orders/1", key, "one pallet")
	require.Equal(t, "ran", first.run())
	second := c.do(http.MethodPost, c.callers(1), "/shop/orders/1", key, "one pallet")
	require.Equal(t, first.body, second.body)
	require.Equal(t, "true", second.header.Get("Idempotency-Replayed"))
	other := c.do(http.MethodPost, c.callers(1), "/shop/orders/1", key, "two pallets")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Contains(t, other.body, "key_reused")
	require.Equal(t, map[string]int{"/shop/orders/1": 1}, c.runs())
}

// Guards against a graceful shutdown that cuts off reads, orders or streams,
// and against keys that die with an entry that was replaced as planned.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	c := newCluster(t, 2, backend.Config{ServiceTime: "const:300", BodyBytes: 1 << 20}, backend.Config{ServiceTime: "const:300", BodyBytes: 1 << 20})
	key, unused := c.key(0), c.key(0)
	var wg sync.WaitGroup
	results := make([]got, 8)
	for i := range results {
		wg.Go(func() {
			if i%2 == 0 {
				results[i] = c.get(c.callers(0), fmt.Sprintf("/shop/items/%d", i))
			} else {
				results[i] = c.do(http.MethodPost, c.callers(0), fmt.Sprintf("/shop/orders/%d", i), c.key(1), "x")
			}
		})
	}
	c.await("all requests at the backend servers", func() bool {
		n := 0
		for _, b := range c.backends {
			n += int(b.Stats().Requests)
		}
		return n >= len(results)
	})
	c.shutdown(0)
	wg.Wait()
	for i, r := range results {
		require.NoError(t, r.err, "request %d", i)
		require.Equal(t, http.StatusOK, r.status, "request %d: %.200s", i, r.body)
		require.GreaterOrEqual(t, len(r.body), 1<<20)
	}
	require.Equal(t, "ran", c.do(http.MethodPost, c.callers(1), "/shop/orders/a", key, "x").run())
	require.Equal(t, "ran", c.do(http.MethodPost, c.callers(1), "/shop/orders/b", unused, "x").run())
	for order, n := range c.runs() {
		require.Equal(t, 1, n, order)
	}
}

// Guards against new work for a backend server that says it is leaving, also
// at entries that have not seen its signal themselves, and although list and
// health keep calling it live.
func TestDrainingBackendServerGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 3, fast(), fast(), fast())
	leaving := c.backends[0]
	leaving.SetFaults(backend.Faults{Drain: true, Health: http.StatusOK})
	c.await("one entry has seen the signal", func() bool {
		c.get(c.callers(0), "/shop/items/1")
		return len(c.entries[0].gateway.Source().Drains()) > 0
	})
	c.await("the mark has reached the other entries", func() bool {
		return len(c.entries[1].gateway.Source().Drains()) > 0 && len(c.entries[2].gateway.Source().Drains()) > 0
	})
	before := leaving.Stats().Requests
	for i := range 60 {
		require.Equal(t, http.StatusOK, c.get(c.callers(i%3), "/shop/items/2").status)
	}
	require.Equal(t, before, leaving.Stats().Requests)
}

// Guards against a response that was cut short and reaches the caller as whole.
func TestCutResponseBreaksTheConnection(t *testing.T) {
	c := newCluster(t, 1, backend.Config{ServiceTime: "const:1", BodyBytes: 1 << 20})
	c.backends[0].SetFaults(backend.Faults{Truncate: true, TruncateBytes: 1 << 19})
	r := c.get(c.callers(0), "/shop/items/1")
	require.Error(t, r.err)
	r = c.do(http.MethodPost, c.callers(0), "/shop/orders/1", c.key(0), "x")
	require.Error(t, r.err)
}

// Guards against malformed requests that reach a backend server.
func TestMalformedRequestsAreRefused(t *testing.T) {
	c := newCluster(t, 1, fast())
	tests := []struct{ desc, text string }{
		{"two lengths", "POST /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"negative length", "POST /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
		{"control character in a field", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX-A: a\x01b\r\n\r\n"},
		{"control character in the path", "GET /shop/\x01 HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"no host", "GET /shop/x HTTP/1.1\r\n\r\n"},
		{"space before the colon", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n"},
		{"unknown transfer coding", "POST /shop/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: zip\r\n\r\n"},
		{"length and chunked", "GET /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"oversized header", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"},
		{"bad timeout", "GET /shop/x HTTP/1.1\r\nHost: a\r\nRequest-Timeout: soon\r\n\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			reply := c.raw(c.callers(0), tc.text)
			require.Regexp(t, `^HTTP/1\.1 (4\d\d|501)`, reply)
		})
	}
	require.Zero(t, c.backends[0].Stats().Requests)
}

// Guards against a request that crashes one backend server after another.
func TestCrashingRequestIsContained(t *testing.T) {
	c := newCluster(t, 2, fast(), fast(), fast(), fast(), fast(), fast(), fast(), fast())
	for _, b := range c.backends {
		b.SetFaults(backend.Faults{CrashOn: "poison", RefuseMS: 200})
	}
	c.await("the request is quarantined at both entries", func() bool {
		a, b := c.get(c.callers(0), "/shop/poison"), c.get(c.callers(1), "/shop/poison")
		return strings.Contains(a.body, "quarantined") && strings.Contains(b.body, "quarantined")
	})
	crashed := 0
	for _, b := range c.backends {
		if b.Stats().Crashes > 0 {
			crashed++
		}
	}
	require.Less(t, crashed, len(c.backends), "every backend server crashed")
	c.await("other requests are served", func() bool { return c.get(c.callers(0), "/shop/items/1").status == http.StatusOK })
}

// Guards against a caller's cancellation that leaves the backend server working.
func TestCancellationReachesTheBackendServer(t *testing.T) {
	c := newCluster(t, 1, backend.Config{ServiceTime: "const:8000"})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.callers(0)+"/shop/items/1", nil)
	require.NoError(t, err)
	go func() {
		c.await("the request is at the backend server", func() bool { return c.backends[0].Stats().Requests > 0 })
		cancel()
	}()
	_, err = c.client.Do(req) //nolint:bodyclose // there is no response
	require.ErrorIs(t, err, context.Canceled)
	c.await("the work is cancelled", func() bool { return c.backends[0].Stats().Canceled > 0 })
	c.await("the request has its one outcome", func() bool {
		counts := c.entries[0].log.Dropped()
		return counts.Requests == 1 && counts.RequestsByResult[audit.Aborted] == 1
	})
}

// Guards against entries that keep older settings than the newest published.
func TestSettingsReachEveryEntry(t *testing.T) {
	c := newCluster(t, 3, fast())
	require.NoError(t, c.platform.Publish([]byte(strings.Replace(clusterTree, `"version": 1`, `"version": 2`, 1))))
	for i := range c.entries {
		c.await("version 2 is in force", func() bool { return c.entries[i].store.Version() == 2 })
	}
	require.Eventually(t, func() bool { return c.entries[0].store.Confirmed() }, patience, time.Millisecond)
}

// Guards against an operator interface that is open to callers, that does not
// find a request by its id, or that shows a secret.
func TestOperatorsQuestions(t *testing.T) {
	c := newCluster(t, 1, fast())
	id := c.get(c.callers(0), "/shop/items/1").header.Get("Lentilpin-Request-Id")
	require.Equal(t, http.StatusUnauthorized, c.get(c.operators(0), "/v1/requests/"+id).status)
	for _, path := range []string{
		"/v1/requests/" + id, "/v1/refusals?minutes=5", "/v1/backends/shop", "/v1/settings/shop",
		"/v1/instances", "/v1/draining", "/v1/measuring", "/v1/audit",
	} {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.operators(0)+path, nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+c.entries[0].conf.Secrets.Operator)
		g := c.send(req)
		require.Equal(t, http.StatusOK, g.status, "%s: %s", path, g.body)
		for _, secret := range []string{c.entries[0].conf.Secrets.Operator, c.entries[0].conf.Secrets.Peer, c.entries[0].conf.Secrets.KeySigning[0]} {
			require.NotContains(t, g.body, secret)
		}
		if strings.Contains(path, id) {
			require.Contains(t, g.body, c.backends[0].Address())
		}
	}
	require.Equal(t, http.StatusNotFound, c.get(c.callers(0), "/v1/instances").status)
}

// Guards against an ejected backend server that is never asked for its health.
func TestEjectedServerIsAsked(t *testing.T) {
	c := newCluster(t, 1, fast(), fast(), fast(), fast())
	c.backends[0].SetFaults(backend.Faults{FailRatio: 1, Health: http.StatusServiceUnavailable})
	c.await("the failing backend server is ejected", func() bool {
		c.get(c.callers(0), "/shop/items/1")
		list, _ := c.entries[0].gateway.Backends("shop")
		return slices.ContainsFunc(list, func(b operator.Backend) bool { return b.State == "ejected" })
	})
	c.await("it is asked", func() bool { return c.backends[0].Stats().HealthChecks > 0 })
}
