package backend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/load/payload"
	"lentilpin/standin/backend"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, c backend.Config) (*backend.Server, *http.Client) {
	c.Listen = "127.0.0.1:0"
	s, err := backend.Start(c)
	require.NoError(t, err)
	// On a reused connection, http.Transport would take late bytes for the
	// response to its next request.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		s.Close()
	})
	return s, client
}

func send(t *testing.T, client *http.Client, method, url string, h http.Header) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, nil)
	require.NoError(t, err)
	for name, values := range h {
		r.Header[name] = values
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Guards against wrong bodies, headers or run counts, on which tests of the
// system rely: the body must name its token and server, and each run of an order
// must be counted.
func TestReadsAndOrders(t *testing.T) {
	s, client := startServer(t, backend.Config{ServiceTime: "const:0", BodyBytes: 1000})
	base := "http://" + s.Address()
	resp, body, err := send(t, client, http.MethodGet, base+"/varasto/1", http.Header{"X-Request-Token": {"t1"}, "Lentilpin-Exchange": {"a-1"}})
	require.NoError(t, err)
	name, err := payload.Check(body, "t1")
	require.NoError(t, err)
	require.Equal(t, s.Name(), name)
	require.Equal(t, "a-1", resp.Header.Get("Lentilpin-Exchange"))
	require.Contains(t, resp.Header.Get("endpoint-load-metrics"), "named_metrics.slots=6")
	for range 2 {
		_, _, err := send(t, client, http.MethodPost, base+"/tilaus/1", http.Header{"X-Order-Id": {"o1"}})
		require.NoError(t, err)
	}
	require.Equal(t, map[string]int{"o1": 2}, s.Runs())
	require.EqualValues(t, 1, s.Stats().Repeated)
	resp, body, err = send(t, client, http.MethodGet, base+"/load", nil)
	require.NoError(t, err)
	var load backend.Load
	require.NoError(t, json.Unmarshal(body, &load))
	require.Equal(t, 6, load.Slots)
	require.NotEmpty(t, resp.Header.Get("endpoint-load-metrics"))
}

// Guards against an order that runs although the response stated that it did not.
// With one slot and a queue of one, a queued order is shed when its deadline
// passes, and a third order is shed because the queue is full.
func TestShedding(t *testing.T) {
	s, client := startServer(t, backend.Config{Slots: 1, Queue: 1, ServiceTime: "const:0"})
	s.SetFaults(backend.Faults{SlowAddMS: 300})
	base := "http://" + s.Address()
	status := func(h http.Header) (int, string) {
		resp, _, err := send(t, client, http.MethodPost, base+"/tilaus/x", h)
		require.NoError(t, err)
		return resp.StatusCode, resp.Header.Get("Backend-Shed")
	}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		_, shed := status(http.Header{"X-Order-Id": {"first"}})
		require.Empty(t, shed)
	}()
	for s.Stats().Orders == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() {
		defer wg.Done()
		code, shed := status(http.Header{"X-Order-Id": {"expires"}, "Request-Timeout": {"100"}})
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Equal(t, "not-run", shed)
	}()
	for s.Stats().Requests < 2 {
		time.Sleep(time.Millisecond)
	}
	for {
		_, body, err := send(t, client, http.MethodGet, base+"/load", nil)
		require.NoError(t, err)
		if strings.Contains(string(body), `"queued":1`) {
			break
		}
	}
	code, shed := status(http.Header{"X-Order-Id": {"third"}})
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "not-run", shed)
	wg.Wait()
	require.Equal(t, map[string]int{"first": 1}, s.Runs())
}

// Guards against faults with the wrong effect on the response or on the number of
// runs.
func TestFaults(t *testing.T) {
	s, client := startServer(t, backend.Config{ServiceTime: "const:0"})
	base := "http://" + s.Address()
	order := http.Header{"X-Order-Id": {"o"}}
	tests := []struct {
		desc   string
		faults backend.Faults
		runs   int
		status int // 0: no complete response
	}{
		{"healthy", backend.Faults{}, 1, 200},
		{"responds with 500", backend.Faults{FailRatio: 1}, 0, 500},
		{"closes after reading", backend.Faults{CloseAfterRead: true}, 0, 0},
		{"closes after running", backend.Faults{CloseAfterRun: true}, 1, 0},
		{"truncates the body", backend.Faults{Truncate: true, TruncateBytes: 5}, 1, 0},
		{"sends no body", backend.Faults{Truncate: true}, 1, 0},
		{"late bytes", backend.Faults{LateBytes: true}, 1, 200},
	}
	runs := 0
	for _, tc := range tests {
		s.SetFaults(tc.faults)
		resp, _, err := send(t, client, http.MethodPost, base+"/tilaus/o", order)
		require.Equal(t, tc.status == 0, err != nil, tc.desc)
		if err == nil {
			require.Equal(t, tc.status, resp.StatusCode, tc.desc)
		}
		runs += tc.runs
		require.Equal(t, runs, s.Runs()["o"], tc.desc)
	}
	s.SetFaults(backend.Faults{LateBytes: true})
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /varasto/1 HTTP/1.1\r\nHost: a\r\nX-Request-Token: t1\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	for _, token := range []string{"t1", "late"} {
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		_, err = payload.Check(body, token)
		require.NoError(t, err)
	}
	s.SetFaults(backend.Faults{Drain: true, Health: 200, Load: &backend.Load{Inflight: 77}})
	resp, body, err := send(t, client, http.MethodGet, base+"/health", nil)
	require.NoError(t, err)
	require.Empty(t, body)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "draining", resp.Header.Get("Backend-State"))
	require.Contains(t, resp.Header.Get("endpoint-load-metrics"), "inflight=77")
}

// Guards against a crash that leaves connections open, does not refuse new ones
// or is permanent, and against Silence closing a connection or affecting new
// ones.
func TestCrashAndSilence(t *testing.T) {
	refusing, _ := startServer(t, backend.Config{ServiceTime: "const:0"})
	refusing.SetFaults(backend.Faults{RefuseMS: 60_000})
	refusing.Crash()
	_, err := net.Dial("tcp", refusing.Address())
	require.Error(t, err)

	s, client := startServer(t, backend.Config{ServiceTime: "const:0"})
	client.Transport = &http.Transport{}
	base := "http://" + s.Address()
	s.SetFaults(backend.Faults{CrashOn: "poison", RefuseMS: 50})
	other, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	defer other.Close()
	_, err = io.WriteString(other, "GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(other), nil)
	require.NoError(t, err)
	_, _, err = send(t, client, http.MethodGet, base+"/varasto/poison", nil)
	require.Error(t, err)
	require.NoError(t, other.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	require.EqualValues(t, 1, s.Stats().Crashes)
	for err != nil {
		time.Sleep(10 * time.Millisecond)
		_, _, err = send(t, client, http.MethodGet, base+"/varasto/1", nil)
	}

	s.SetFaults(backend.Faults{SlowAddMS: 100})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	before := s.Stats().Requests
	go func() { // silences the connection while the request runs
		for s.Stats().Requests == before {
			time.Sleep(time.Millisecond)
		}
		s.Silence()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/varasto/1", nil)
	require.NoError(t, err)
	_, err = client.Do(r)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, _, err = send(t, client, http.MethodGet, base+"/varasto/1", nil)
	require.NoError(t, err)
}

// Guards against an admin path that is missing or affects the wrong server, and
// against admin paths that work on the service address.
func TestAdmin(t *testing.T) {
	a, client := startServer(t, backend.Config{Name: "a", ServiceTime: "const:0"})
	b, _ := startServer(t, backend.Config{Name: "b", ServiceTime: "const:0"})
	admin := httptest.NewServer(backend.AdminHandler([]*backend.Server{a, b}))
	defer admin.Close()
	call := func(method, path, body string) (int, string) {
		r, err := http.NewRequestWithContext(context.Background(), method, admin.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		r.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(r)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	code, _ := call(http.MethodPut, "/backends/b/faults", `{"drain": true}`)
	require.Equal(t, http.StatusNoContent, code)
	require.False(t, a.Faults().Drain)
	require.True(t, b.Faults().Drain)
	code, _ = call(http.MethodDelete, "/backends/*/faults", "")
	require.Equal(t, http.StatusNoContent, code)
	require.False(t, b.Faults().Drain)
	code, _ = call(http.MethodPost, "/backends/c/crash", "")
	require.Equal(t, http.StatusNotFound, code)
	for _, s := range []*backend.Server{a, b} {
		_, _, err := send(t, client, http.MethodPost, "http://"+s.Address()+"/backends/a/crash", http.Header{"X-Order-Id": {"o"}})
		require.NoError(t, err)
	}
	require.Zero(t, a.Stats().Crashes)
	_, text := call(http.MethodGet, "/runs", "")
	require.JSONEq(t, `{"orders": 1, "runs": {"o": 2}, "repeated": {"o": 2}}`, text)
	_, text = call(http.MethodGet, "/backends", "")
	require.Contains(t, text, `"name":"b"`)
}

// Guards against service times that differ for equal seeds or exceed 10 seconds,
// against invalid distributions that are accepted, and against listening on a
// non-loopback address.
func TestDistributions(t *testing.T) {
	for _, text := range []string{"const:5", "uniform:1:9", "exp:5", "lognormal:5:2"} {
		a, err := backend.ParseDistribution(text, 7)
		require.NoError(t, err)
		b, err := backend.ParseDistribution(text, 7)
		require.NoError(t, err)
		for range 100 {
			v := a.Sample()
			require.Equal(t, v, b.Sample(), text)
			require.True(t, v >= 0 && v <= 10*time.Second, text)
		}
	}
	for _, text := range []string{"", "exp", "exp:-1", "exp:NaN", "uniform:5:1", "pareto:1"} {
		_, err := backend.ParseDistribution(text, 1)
		require.Error(t, err, text)
	}
	_, err := backend.Start(backend.Config{Listen: "0.0.0.0:0"})
	require.ErrorContains(t, err, "loopback")
}
