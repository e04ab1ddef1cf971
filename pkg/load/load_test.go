package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/load"
	"lentilpin/pkg/load/payload"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const responseDelay = 20 * time.Millisecond

// fakeEntry serves as an entry and as the admin address of the backend servers.
// mode selects the response to orders; each order runs runsPerOrder times.
type fakeEntry struct {
	mode         string
	runsPerOrder int
	mu           sync.Mutex
	runsByOrder  map[string]int
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/runs" {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"runs": e.runsByOrder})
		return
	}
	token := path.Base(r.URL.Path)
	w.Header().Set("Lentilpin-Key", "key-"+token)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(responseDelay)
	if r.Method == http.MethodGet {
		_, _ = w.Write(payload.New(token, "b", 100))
		return
	}
	e.mu.Lock()
	if r.Header.Get("Idempotency-Key") == "" || r.Header.Get("X-Order-Id") != token {
		panic("order without idempotency key or order ID")
	}
	if e.runsPerOrder > 0 {
		e.runsByOrder[token] += e.runsPerOrder
	}
	e.mu.Unlock()
	body := payload.New(token, "b", 100)
	switch e.mode {
	case "foreign":
		body = payload.New("other", "b", 100)
	case "damaged":
		body[len(body)-1] ^= 1
	case "cut":
		w.Header().Set("Content-Length", fmt.Sprint(len(body)+1))
	case "replayed":
		w.Header().Set("Idempotency-Replayed", "true")
	case "not_run", "ran", "unknown":
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		body = fmt.Appendf(nil, `{"run": %q, "reason": "because"}`, e.mode)
	}
	_, _ = w.Write(body)
}

// Guards against requests that are counted twice or not at all, and against
// undetected faults: a response of another caller, a damaged response, or a wrong
// statement about an order.
func TestRun(t *testing.T) {
	tests := []struct {
		mode         string
		runsPerOrder int
		count        func(c *load.RequestStats) int64 // must equal the number of orders sent
		broken       bool
	}{
		{"answered", 1, func(c *load.RequestStats) int64 { return c.Answered }, false},
		{"answered", 0, func(c *load.RequestStats) int64 { return c.Answered }, true},
		{"answered", 2, func(c *load.RequestStats) int64 { return c.Answered }, true},
		{"replayed", 1, func(c *load.RequestStats) int64 { return c.Replayed }, false},
		{"foreign", 1, func(c *load.RequestStats) int64 { return c.Foreign }, true},
		{"damaged", 1, func(c *load.RequestStats) int64 { return c.Damaged }, true},
		{"cut", 1, func(c *load.RequestStats) int64 { return c.Unknown }, false},
		{"not_run", 0, func(c *load.RequestStats) int64 { return c.NotRun }, false},
		{"not_run", 1, func(c *load.RequestStats) int64 { return c.NotRun }, true},
		{"ran", 0, func(c *load.RequestStats) int64 { return c.Ran }, true},
		{"unknown", 0, func(c *load.RequestStats) int64 { return c.Unknown }, false},
		{"unknown", 1, func(c *load.RequestStats) int64 { return c.Unknown }, false},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.mode, tc.runsPerOrder), func(t *testing.T) {
			server := httptest.NewServer(&fakeEntry{mode: tc.mode, runsPerOrder: tc.runsPerOrder, runsByOrder: map[string]int{}})
			defer server.Close()
			address := server.Listener.Addr().String()
			o := load.Defaults()
			o.Targets, o.Direct, o.Rate, o.Duration, o.Reads = []string{address}, []string{address}, 500, 300*time.Millisecond, 2
			result, err := load.Run(context.Background(), o)
			require.NoError(t, err)
			require.NoError(t, result.Verify(context.Background(), address))
			http.DefaultClient.CloseIdleConnections()
			require.Equal(t, result.Scheduled, result.Reads.Sent+result.Direct.Sent+result.Orders.Sent+result.NotSent+result.NoKey)
			require.Equal(t, result.Reads.Sent, result.Reads.Answered)
			require.Positive(t, result.Direct.Answered)
			require.Positive(t, result.Orders.Sent)
			require.Equal(t, result.Orders.Sent, tc.count(&result.Orders))
			require.Equal(t, tc.broken, result.HasViolations())
			require.GreaterOrEqual(t, result.Reads.Latency.P50, float64(responseDelay.Milliseconds()))
			require.NotNil(t, result.AddedLatency)
			var text bytes.Buffer
			result.Print(&text)
			require.Contains(t, text.String(), "added latency of reads")
		})
	}
}

// Guards against a run that continues after its context ends, and against more
// concurrent requests than allowed.
func TestBounds(t *testing.T) {
	server := httptest.NewServer(&fakeEntry{runsByOrder: map[string]int{}})
	defer server.Close()
	for _, rate := range []float64{5000, 0.1} {
		o := load.Defaults()
		o.Targets, o.Rate, o.Inflight, o.Duration = []string{server.Listener.Addr().String()}, rate, 2, time.Minute
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		result, err := load.Run(ctx, o)
		cancel()
		require.NoError(t, err)
		require.Equal(t, rate > 1, result.NotSent > 0)
		require.Less(t, result.DurationMS, time.Minute.Milliseconds()/2)
	}
}

// Guards against load on other machines and against unbounded runs.
func TestRefusedOptions(t *testing.T) {
	for _, address := range []string{"192.0.2.1:80", "example.org:80", "localhost:80", "0.0.0.0:80", "[::]:80", "127.0.0.1", "[::ffff:192.0.2.1]:80", ""} {
		require.Error(t, load.CheckLoopback(address), address)
	}
	for _, address := range []string{"127.0.0.1:80", "127.9.9.9:1", "[::1]:80", "[::ffff:127.0.0.1]:80"} {
		require.NoError(t, load.CheckLoopback(address), address)
	}
	tests := []struct {
		desc   string
		change func(*load.Options)
	}{
		{"no target", func(o *load.Options) { o.Targets = nil }},
		{"direct target on another machine", func(o *load.Options) { o.Direct = []string{"192.0.2.1:80"} }},
		{"rate", func(o *load.Options) { o.Rate = 1e6 }},
		{"duration", func(o *load.Options) { o.Duration = time.Hour }},
		{"requests", func(o *load.Options) { o.Rate, o.Duration = 50_000, 10*time.Minute }},
		{"mix", func(o *load.Options) { o.Reads, o.Orders = 0, 0 }},
		{"resend", func(o *load.Options) { o.ResendRatio = 2 }},
		{"inflight", func(o *load.Options) { o.Inflight = 0 }},
		{"timeout", func(o *load.Options) { o.Timeout = 0 }},
	}
	for _, tc := range tests {
		o := load.Defaults()
		o.Targets = []string{"127.0.0.1:1"}
		tc.change(&o)
		_, err := load.Run(context.Background(), o)
		require.Error(t, err, tc.desc)
	}
}
