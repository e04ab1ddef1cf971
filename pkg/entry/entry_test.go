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

func fastBackend() backend.Config { return backend.Config{ServiceTime: "const:1"} }

// Guards against a second run of an order that a caller repeats at another entry
// with the same idempotency key.
func TestOrderRepeatedAtAnotherEntry(t *testing.T) {
	c := newCluster(t, 2, fastBackend(), fastBackend())
	key := c.key(0)
	first := c.send(http.MethodPost, c.callers(0), "/shop/orders/1", key, "one pallet")
	require.Equal(t, "ran", first.runState())
	second := c.send(http.MethodPost, c.callers(1), "/shop/orders/1", key, "one pallet")
	require.Equal(t, first.body, second.body)
	require.Equal(t, "true", second.header.Get("Idempotency-Replayed"))
	other := c.send(http.MethodPost, c.callers(1), "/shop/orders/1", key, "two pallets")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Contains(t, other.body, "key_reused")
	require.Equal(t, map[string]int{"/shop/orders/1": 1}, c.countRuns())
}

// Guards against a graceful shutdown that cuts off reads, orders or streamed
// responses, and against idempotency keys that are lost when the entry that
// issued them shuts down gracefully.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	c := newCluster(t, 2, backend.Config{ServiceTime: "const:300", BodyBytes: 1 << 20}, backend.Config{ServiceTime: "const:300", BodyBytes: 1 << 20})
	key, unused := c.key(0), c.key(0)
	var wg sync.WaitGroup
	results := make([]response, 8)
	for i := range results {
		wg.Go(func() {
			if i%2 == 0 {
				results[i] = c.get(c.callers(0), fmt.Sprintf("/shop/items/%d", i))
			} else {
				results[i] = c.send(http.MethodPost, c.callers(0), fmt.Sprintf("/shop/orders/%d", i), c.key(1), "x")
			}
		})
	}
	c.waitFor("all requests have reached the backend servers", func() bool {
		n := 0
		for _, b := range c.backends {
			n += int(b.Stats().Requests)
		}
		return n >= len(results)
	})
	c.stopEntry(0)
	wg.Wait()
	for i, r := range results {
		require.NoError(t, r.err, "request %d", i)
		require.Equal(t, http.StatusOK, r.status, "request %d: %.200s", i, r.body)
		require.GreaterOrEqual(t, len(r.body), 1<<20)
	}
	require.Equal(t, "ran", c.send(http.MethodPost, c.callers(1), "/shop/orders/a", key, "x").runState())
	require.Equal(t, "ran", c.send(http.MethodPost, c.callers(1), "/shop/orders/b", unused, "x").runState())
	for order, n := range c.countRuns() {
		require.Equal(t, 1, n, order)
	}
}

// Guards against new requests to a backend server that signals draining, also
// from entries that have not received the signal themselves, while the instance
// list and the health check still report it as live.
func TestDrainingBackendServerGetsNoNewRequests(t *testing.T) {
	c := newCluster(t, 3, fastBackend(), fastBackend(), fastBackend())
	draining := c.backends[0]
	draining.SetFaults(backend.Faults{Drain: true, Health: http.StatusOK})
	c.waitFor("one entry has received the drain signal", func() bool {
		c.get(c.callers(0), "/shop/items/1")
		return len(c.entries[0].gateway.PeerState().Drains()) > 0
	})
	c.waitFor("the drain mark has reached the other entries", func() bool {
		return len(c.entries[1].gateway.PeerState().Drains()) > 0 && len(c.entries[2].gateway.PeerState().Drains()) > 0
	})
	before := draining.Stats().Requests
	for i := range 60 {
		require.Equal(t, http.StatusOK, c.get(c.callers(i%3), "/shop/items/2").status)
	}
	require.Equal(t, before, draining.Stats().Requests)
}

// Guards against a truncated response that reaches the caller as a complete one.
func TestTruncatedResponseBreaksTheConnection(t *testing.T) {
	c := newCluster(t, 1, backend.Config{ServiceTime: "const:1", BodyBytes: 1 << 20})
	c.backends[0].SetFaults(backend.Faults{Truncate: true, TruncateBytes: 1 << 19})
	r := c.get(c.callers(0), "/shop/items/1")
	require.Error(t, r.err)
	r = c.send(http.MethodPost, c.callers(0), "/shop/orders/1", c.key(0), "x")
	require.Error(t, r.err)
}

// Guards against malformed requests that are forwarded to a backend server.
func TestMalformedRequestsAreRefused(t *testing.T) {
	c := newCluster(t, 1, fastBackend())
	tests := []struct{ desc, text string }{
		{"two Content-Length fields", "POST /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
		{"negative Content-Length", "POST /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"},
		{"control character in a field value", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX-A: a\x01b\r\n\r\n"},
		{"control character in the path", "GET /shop/\x01 HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"no Host field", "GET /shop/x HTTP/1.1\r\n\r\n"},
		{"space between field name and colon", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n"},
		{"unknown transfer coding", "POST /shop/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: zip\r\n\r\n"},
		{"Content-Length with chunked coding", "GET /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"oversized header", "GET /shop/x HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"},
		{"invalid Request-Timeout", "GET /shop/x HTTP/1.1\r\nHost: a\r\nRequest-Timeout: soon\r\n\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			reply := c.sendRaw(c.callers(0), tc.text)
			require.Regexp(t, `^HTTP/1\.1 (4\d\d|501)`, reply)
		})
	}
	require.Zero(t, c.backends[0].Stats().Requests)
}

// Guards against a request that crashes every backend server it is sent to: it
// must be quarantined before all of them have crashed.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := newCluster(t, 2, fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend())
	for _, b := range c.backends {
		b.SetFaults(backend.Faults{CrashOn: "poison", RefuseMS: 200})
	}
	c.waitFor("the request is quarantined at both entries", func() bool {
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
	c.waitFor("other requests are served", func() bool { return c.get(c.callers(0), "/shop/items/1").status == http.StatusOK })
}

// Guards against a backend server that keeps working on a request which the
// caller has canceled.
func TestCancellationReachesTheBackendServer(t *testing.T) {
	c := newCluster(t, 1, backend.Config{ServiceTime: "const:8000"})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.callers(0)+"/shop/items/1", nil)
	require.NoError(t, err)
	go func() {
		c.waitFor("the request has reached the backend server", func() bool { return c.backends[0].Stats().Requests > 0 })
		cancel()
	}()
	_, err = c.client.Do(req) //nolint:bodyclose // the request fails, so there is no body
	require.ErrorIs(t, err, context.Canceled)
	c.waitFor("the backend server has seen the cancellation", func() bool { return c.backends[0].Stats().Canceled > 0 })
	c.waitFor("exactly one outcome is recorded", func() bool {
		counts := c.entries[0].log.Totals()
		return counts.Requests == 1 && counts.RequestsByResult[audit.OutcomeAborted] == 1
	})
}

// Guards against entries that do not adopt the newest published settings.
func TestSettingsReachEveryEntry(t *testing.T) {
	c := newCluster(t, 3, fastBackend())
	require.NoError(t, c.platform.Publish([]byte(strings.Replace(clusterTree, `"version": 1`, `"version": 2`, 1))))
	for i := range c.entries {
		c.waitFor("version 2 is in force", func() bool { return c.entries[i].settingsStore.Version() == 2 })
	}
	require.Eventually(t, func() bool { return c.entries[0].settingsStore.Confirmed() }, testTimeout, time.Millisecond)
}

// Guards against an operator interface that answers without the credential or on
// the callers' listener, does not find a request by its id, or exposes a secret.
func TestOperatorInterface(t *testing.T) {
	c := newCluster(t, 1, fastBackend())
	id := c.get(c.callers(0), "/shop/items/1").header.Get("Lentilpin-Request-Id")
	require.Equal(t, http.StatusUnauthorized, c.get(c.operators(0), "/v1/requests/"+id).status)
	for _, path := range []string{
		"/v1/requests/" + id, "/v1/refusals?minutes=5", "/v1/backends/shop", "/v1/settings/shop",
		"/v1/instances", "/v1/draining", "/v1/measuring", "/v1/audit",
	} {
		req, err := http.NewRequest(http.MethodGet, "http://"+c.operators(0)+path, nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+c.entries[0].conf.Secrets.Operator)
		resp := c.sendRequest(req)
		require.Equal(t, http.StatusOK, resp.status, "%s: %s", path, resp.body)
		for _, secret := range []string{c.entries[0].conf.Secrets.Operator, c.entries[0].conf.Secrets.Peer, c.entries[0].conf.Secrets.KeySigning[0]} {
			require.NotContains(t, resp.body, secret)
		}
		if strings.Contains(path, id) {
			require.Contains(t, resp.body, c.backends[0].Address())
		}
	}
	require.Equal(t, http.StatusNotFound, c.get(c.callers(0), "/v1/instances").status)
}

// Guards against an ejected backend server whose health is never probed.
func TestEjectedBackendServerIsProbed(t *testing.T) {
	c := newCluster(t, 1, fastBackend(), fastBackend(), fastBackend(), fastBackend())
	c.backends[0].SetFaults(backend.Faults{FailRatio: 1, Health: http.StatusServiceUnavailable})
	c.waitFor("the failing backend server is ejected", func() bool {
		c.get(c.callers(0), "/shop/items/1")
		list, _ := c.entries[0].gateway.Backends("shop")
		return slices.ContainsFunc(list, func(b operator.Backend) bool { return b.State == "ejected" })
	})
	c.waitFor("its health is probed", func() bool { return c.backends[0].Stats().HealthChecks > 0 })
}
