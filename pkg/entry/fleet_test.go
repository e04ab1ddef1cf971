package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/config/static"
	"lentilpin/standin/backend"
	"lentilpin/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds every wait for an event; no test asserts on a duration.
const testTimeout = 20 * time.Second

const treeText = `{"version": 1, "fleet": {"defaults": {"timeoutMs": 10000, "attemptTimeoutMs": 5000,
  "keys": {"claimMs": 2000, "grantMs": 5000}, "outlier": {"slowStartMs": 0}, "queue": {"maxWaitMs": 5000}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

// fleet runs several entries in this process in front of backend stand-ins,
// connected over loopback sockets.
type fleet struct {
	t        testing.TB
	stop     stopTimes
	platform *platform.Server
	http     *httptest.Server
	backends []*backend.Server
	entries  []*runningEntry
	client   *http.Client
}

type runningEntry struct {
	*Entry
	stop context.CancelFunc
	done chan error
}

// stopTimes are the drain and the grace of a planned stop, in milliseconds.
type stopTimes struct{ drainMS, graceMS int }

func newFleet(t testing.TB, entries int, configs ...backend.Config) *fleet {
	return newFleetWithStop(t, entries, stopTimes{drainMS: 50, graceMS: 15000}, configs...)
}

func newFleetWithStop(t testing.TB, entries int, stop stopTimes, configs ...backend.Config) *fleet {
	f := &fleet{t: t, stop: stop, platform: platform.New(0), client: &http.Client{Transport: &http.Transport{}}}
	f.http = httptest.NewServer(f.platform.ReadHandler())
	require.NoError(t, f.platform.Publish([]byte(treeText)))
	var instances []platform.Instance
	for i, config := range configs {
		config.Listen = "127.0.0.1:0"
		b, err := backend.Start(config)
		require.NoError(t, err)
		f.backends = append(f.backends, b)
		instances = append(instances, platform.Instance{
			Name: fmt.Sprintf("b-%d", i), Kind: "backend", Service: "shop", Address: b.Address(),
			FailureDomain: fmt.Sprintf("fd-%d", i%entries), State: "live",
		})
	}
	var listeners []*Listeners
	var peerAddresses []string
	for i := range entries {
		l, err := Listen(t.Context(), static.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"})
		require.NoError(t, err)
		listeners = append(listeners, l)
		peerAddresses = append(peerAddresses, l.Peers.Addr().String())
		instances = append(instances, platform.Instance{
			Name: fmt.Sprintf("e-%d", i), Kind: "entry", Address: peerAddresses[i],
			FailureDomain: fmt.Sprintf("fd-%d", i), State: "live", Ordinal: i,
		})
	}
	f.platform.SetInstances(instances)
	for i, l := range listeners {
		f.startEntry(i, l, peerAddresses)
	}
	t.Cleanup(f.close)
	for i := range entries {
		f.waitFor(fmt.Sprintf("entry %d ready", i), func() bool { return f.get(f.operators(i), "/readyz").status == http.StatusOK })
	}
	return f
}

func (f *fleet) startEntry(i int, listeners *Listeners, seedPeers []string) {
	text, err := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("e-%d", i), "region": "r", "failureDomain": fmt.Sprintf("fd-%d", i), "ordinal": i,
		"listen":   map[string]string{"callers": listeners.Callers.Addr().String(), "peers": listeners.Peers.Addr().String(), "operators": listeners.Operators.Addr().String()},
		"platform": f.http.URL, "seedPeers": seedPeers,
		"secrets":  map[string]any{"keySigning": []string{strings.Repeat("k", 32)}, "peer": strings.Repeat("p", 16), "operator": strings.Repeat("o", 16)},
		"shutdown": map[string]int{"drainMs": f.stop.drainMS, "graceMs": f.stop.graceMS},
	})
	require.NoError(f.t, err)
	conf, err := static.Parse(text)
	require.NoError(f.t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningEntry{Entry: New(conf, logger), stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- r.Run(ctx, listeners) }()
	f.entries = append(f.entries, r)
}

// stopEntry shuts an entry down gracefully and waits until it has stopped.
func (f *fleet) stopEntry(i int) {
	f.entries[i].stop()
	select {
	case err := <-f.entries[i].done:
		require.NoError(f.t, err)
		f.entries[i].done <- nil
	case <-time.After(testTimeout):
		require.Fail(f.t, "the entry did not stop")
	}
}

func (f *fleet) close() {
	for i := range f.entries {
		f.stopEntry(i)
	}
	for _, b := range f.backends {
		b.Close()
	}
	f.client.CloseIdleConnections()
	f.http.CloseClientConnections()
	f.http.Close()
}

// callers and operators return the addresses of these listeners of entry i.
func (f *fleet) callers(i int) string   { return f.entries[i].conf.Listen.Callers }
func (f *fleet) operators(i int) string { return f.entries[i].conf.Listen.Operators }

func (f *fleet) waitFor(desc string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, testTimeout, 5*time.Millisecond, desc)
}

// response is an HTTP response with its body, or the error of the request.
type response struct {
	status int
	header http.Header
	body   string
	err    error // of sending the request or of reading the body
}

func (r response) runState() string { return r.header.Get("Lentilpin-Run") }

func (f *fleet) get(address, path string) response {
	return f.send(http.MethodGet, address, path, "", "")
}

func (f *fleet) send(method, address, path, key, body string) response {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return f.sendRequest(req)
}

func (f *fleet) sendRequest(req *http.Request) response {
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(text), err}
}

// key returns a new idempotency key issued by entry i.
func (f *fleet) key(i int) string {
	resp := f.send(http.MethodPost, f.callers(i), "/.lentilpin/keys", "", "")
	require.NoError(f.t, resp.err)
	var out struct{ Keys []string }
	require.NoError(f.t, json.Unmarshal([]byte(resp.body), &out))
	return out.Keys[0]
}

// countRuns returns how often each order started to run, summed over the backend
// servers.
func (f *fleet) countRuns() map[string]int { return backend.SumRuns(f.backends).Runs }

// sendRaw sends text over a new connection and returns the first bytes of the
// reply.
func (f *fleet) sendRaw(address, text string) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(f.t, err)
	buf := make([]byte, 64)
	n, _ := io.ReadAtLeast(conn, buf, 12)
	return string(buf[:n])
}
