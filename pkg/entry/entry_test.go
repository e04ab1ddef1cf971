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
	f := newFleet(t, 2, fastBackend(), fastBackend())
	key := f.key(0)
	first := f.send(http.MethodPost, f.callers(0), "/shop/orders/1", key, "one pallet")
	require.Equal(t, "ran", first.runState())
	second := f.send(http.MethodPost, f.callers(1), "/shop/orders/1", key, "one pallet")
	require.Equal(t, first.body, second.body)
	require.Equal(t, "true", second.header.Get("Idempotency-Replayed"))
	other := f.send(http.MethodPost, f.callers(1), "/shop/orders/1", key, "two pallets")
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Contains(t, other.body, "key_reused")
	require.Equal(t, map[string]int{"/shop/orders/1": 1}, f.countRuns())
}

// Guards against a graceful shutdown that cuts off reads, orders or streamed
// responses, and against idempotency keys that are lost when the entry that
// issued them shuts down gracefully.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	f := newFleet(t, 2, backend.Config{ServiceTime: "const:300", BodyBytes: 1 << 20}, backend.Config{ServiceTime: "const:300", BodyBytes: 1 << 20})
	key, unused := f.key(0), f.key(0)
	var wg sync.WaitGroup
	results := make([]response, 8)
	for i := range results {
		wg.Go(func() {
			if i%2 == 0 {
				results[i] = f.get(f.callers(0), fmt.Sprintf("/shop/items/%d", i))
			} else {
				results[i] = f.send(http.MethodPost, f.callers(0), fmt.Sprintf("/shop/orders/%d", i), f.key(1), "x")
			}
		})
	}
	f.waitFor("all requests have reached the backend servers", func() bool {
		n := 0
		for _, b := range f.backends {
			n += int(b.Stats().Requests)
		}
		return n >= len(results)
	})
	f.stopEntry(0)
	wg.Wait()
	for i, r := range results {
		require.NoError(t, r.err, "request %d", i)
		require.Equal(t, http.StatusOK, r.status, "request %d: %.200s", i, r.body)
		require.GreaterOrEqual(t, len(r.body), 1<<20)
	}
	require.Equal(t, "ran", f.send(http.MethodPost, f.callers(1), "/shop/orders/a", key, "x").runState())
	require.Equal(t, "ran", f.send(http.MethodPost, f.callers(1), "/shop/orders/b", unused, "x").runState())
	for order, n := range f.countRuns() {
		require.Equal(t, 1, n, order)
	}
}

// Guards against new requests to a backend server that signals draining, also
// from entries that have not received the signal themselves, while the instance
// list and the health check still report it as live.
func TestDrainingBackendServerGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, 3, fastBackend(), fastBackend(), fastBackend())
	draining := f.backends[0]
	draining.SetFaults(backend.Faults{Drain: true, Health: http.StatusOK})
	f.waitFor("one entry has received the drain signal", func() bool {
		f.get(f.callers(0), "/shop/items/1")
		return len(f.entries[0].gateway.PeerState().Drains()) > 0
	})
	f.waitFor("the drain mark has reached the other entries", func() bool {
		return len(f.entries[1].gateway.PeerState().Drains()) > 0 && len(f.entries[2].gateway.PeerState().Drains()) > 0
	})
	before := draining.Stats().Requests
	for i := range 60 {
		require.Equal(t, http.StatusOK, f.get(f.callers(i%3), "/shop/items/2").status)
	}
	require.Equal(t, before, draining.Stats().Requests)
}

// Guards against a truncated response that reaches the caller as a complete one.
func TestTruncatedResponseBreaksTheConnection(t *testing.T) {
	f := newFleet(t, 1, backend.Config{ServiceTime: "const:1", BodyBytes: 1 << 20})
	f.backends[0].SetFaults(backend.Faults{Truncate: true, TruncateBytes: 1 << 19})
	r := f.get(f.callers(0), "/shop/items/1")
	require.Error(t, r.err)
	r = f.send(http.MethodPost, f.callers(0), "/shop/orders/1", f.key(0), "x")
	require.Error(t, r.err)
}

// Guards against malformed requests that are forwarded to a backend server.
func TestMalformedRequestsAreRefused(t *testing.T) {
	f := newFleet(t, 1, fastBackend())
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
			reply := f.sendRaw(f.callers(0), tc.text)
			require.Regexp(t, `^HTTP/1\.1 (4\d\d|501)`, reply)
		})
	}
	require.Zero(t, f.backends[0].Stats().Requests)
}

// Guards against refusing a proper request because the name of a field begins like
// Content-Length.
func TestFieldNameLikeContentLength(t *testing.T) {
	f := newFleet(t, 1, fastBackend())
	reply := f.sendRaw(f.callers(0), "GET /shop/x HTTP/1.1\r\nHost: a\r\nContent-Length-Hint: 3\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n")
	require.Regexp(t, `^HTTP/1\.1 200`, reply)
}

// Guards against a request that crashes every backend server it is sent to: it
// must be quarantined before all of them have crashed.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 2, fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend())
	for _, b := range f.backends {
		b.SetFaults(backend.Faults{CrashOn: "poison", RefuseMS: 200})
	}
	f.waitFor("the request is quarantined at both entries", func() bool {
		a, b := f.get(f.callers(0), "/shop/poison"), f.get(f.callers(1), "/shop/poison")
		return strings.Contains(a.body, "quarantined") && strings.Contains(b.body, "quarantined")
	})
	crashed := 0
	for _, b := range f.backends {
		if b.Stats().Crashes > 0 {
			crashed++
		}
	}
	require.Less(t, crashed, len(f.backends), "every backend server crashed")
	f.waitFor("other requests are served", func() bool { return f.get(f.callers(0), "/shop/items/1").status == http.StatusOK })
}

// Guards against a backend server that keeps working on a request which the
// caller has canceled.
func TestCancellationReachesTheBackendServer(t *testing.T) {
	f := newFleet(t, 1, backend.Config{ServiceTime: "const:8000"})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.callers(0)+"/shop/items/1", nil)
	require.NoError(t, err)
	go func() {
		f.waitFor("the request has reached the backend server", func() bool { return f.backends[0].Stats().Requests > 0 })
		cancel()
	}()
	_, err = f.client.Do(req) //nolint:bodyclose // the request fails, so there is no body
	require.ErrorIs(t, err, context.Canceled)
	f.waitFor("the backend server has seen the cancellation", func() bool { return f.backends[0].Stats().Canceled > 0 })
	f.waitFor("exactly one outcome is recorded", func() bool {
		counts := f.entries[0].log.Totals()
		return counts.Requests == 1 && counts.RequestsByResult[audit.OutcomeAborted] == 1
	})
}

// Guards against entries that do not adopt the newest published settings.
func TestSettingsReachEveryEntry(t *testing.T) {
	f := newFleet(t, 3, fastBackend())
	require.NoError(t, f.platform.Publish([]byte(strings.Replace(treeText, `"version": 1`, `"version": 2`, 1))))
	for i := range f.entries {
		f.waitFor("version 2 is in force", func() bool { return f.entries[i].settingsStore.Version() == 2 })
	}
	require.Eventually(t, func() bool { return f.entries[0].settingsStore.Confirmed() }, testTimeout, time.Millisecond)
}

// Guards against an operator interface that answers without the credential or on
// the callers' listener, does not find a request by its id, or exposes a secret.
func TestOperatorInterface(t *testing.T) {
	f := newFleet(t, 1, fastBackend())
	id := f.get(f.callers(0), "/shop/items/1").header.Get("Lentilpin-Request-Id")
	require.Equal(t, http.StatusUnauthorized, f.get(f.operators(0), "/v1/requests/"+id).status)
	for _, path := range []string{
		"/v1/requests/" + id, "/v1/refusals?minutes=5", "/v1/backends/shop", "/v1/settings/shop",
		"/v1/instances", "/v1/draining", "/v1/measuring", "/v1/hedges", "/v1/audit",
	} {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.operators(0)+path, nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+f.entries[0].conf.Secrets.Operator)
		resp := f.sendRequest(req)
		require.Equal(t, http.StatusOK, resp.status, "%s: %s", path, resp.body)
		for _, secret := range []string{f.entries[0].conf.Secrets.Operator, f.entries[0].conf.Secrets.Peer, f.entries[0].conf.Secrets.KeySigning[0]} {
			require.NotContains(t, resp.body, secret)
		}
		if strings.Contains(path, id) {
			require.Contains(t, resp.body, f.backends[0].Address())
		}
	}
	require.Equal(t, http.StatusNotFound, f.get(f.callers(0), "/v1/instances").status)
}

// Guards against an ejected backend server whose health is never probed.
func TestEjectedBackendServerIsProbed(t *testing.T) {
	f := newFleet(t, 1, fastBackend(), fastBackend(), fastBackend(), fastBackend())
	f.backends[0].SetFaults(backend.Faults{FailRatio: 1, Health: http.StatusServiceUnavailable})
	f.waitFor("the failing backend server is ejected", func() bool {
		f.get(f.callers(0), "/shop/items/1")
		list, _ := f.entries[0].gateway.Backends("shop")
		return slices.ContainsFunc(list, func(b operator.Backend) bool { return b.State == "ejected" })
	})
	f.waitFor("its health is probed", func() bool { return f.backends[0].Stats().HealthChecks > 0 })
}
