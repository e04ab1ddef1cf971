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

const clusterTree = `{"version": 1, "fleet": {"defaults": {"timeoutMs": 10000, "attemptTimeoutMs": 5000,
  "keys": {"claimMs": 2000, "grantMs": 5000}, "outlier": {"slowStartMs": 0}, "queue": {"maxWaitMs": 5000}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

// cluster runs several entries in this process in front of backend stand-ins,
// connected over loopback sockets.
type cluster struct {
	t        testing.TB
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

func newCluster(t testing.TB, entries int, configs ...backend.Config) *cluster {
	c := &cluster{t: t, platform: platform.New(0), client: &http.Client{Transport: &http.Transport{}}}
	c.http = httptest.NewServer(c.platform.ReadHandler())
	require.NoError(t, c.platform.Publish([]byte(clusterTree)))
	var instances []platform.Instance
	for i, config := range configs {
		config.Listen = "127.0.0.1:0"
		b, err := backend.Start(config)
		require.NoError(t, err)
		c.backends = append(c.backends, b)
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
	c.platform.SetInstances(instances)
	for i, l := range listeners {
		c.startEntry(i, l, peerAddresses)
	}
	t.Cleanup(c.close)
	for i := range entries {
		c.waitFor(fmt.Sprintf("entry %d ready", i), func() bool { return c.get(c.operators(i), "/readyz").status == http.StatusOK })
	}
	return c
}

func (c *cluster) startEntry(i int, listeners *Listeners, seedPeers []string) {
	text, err := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("e-%d", i), "region": "r", "failureDomain": fmt.Sprintf("fd-%d", i), "ordinal": i,
		"listen":   map[string]string{"callers": listeners.Callers.Addr().String(), "peers": listeners.Peers.Addr().String(), "operators": listeners.Operators.Addr().String()},
		"platform": c.http.URL, "seedPeers": seedPeers,
		"secrets":  map[string]any{"keySigning": []string{strings.Repeat("k", 32)}, "peer": strings.Repeat("p", 16), "operator": strings.Repeat("o", 16)},
		"shutdown": map[string]int{"drainMs": 50, "graceMs": 15000},
	})
	require.NoError(c.t, err)
	conf, err := static.Parse(text)
	require.NoError(c.t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningEntry{Entry: New(conf, logger), stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- r.Run(ctx, listeners) }()
	c.entries = append(c.entries, r)
}

// stopEntry shuts an entry down gracefully and waits until it has stopped.
func (c *cluster) stopEntry(i int) {
	c.entries[i].stop()
	select {
	case err := <-c.entries[i].done:
		require.NoError(c.t, err)
		c.entries[i].done <- nil
	case <-time.After(testTimeout):
		require.Fail(c.t, "the entry did not stop")
	}
}

func (c *cluster) close() {
	for i := range c.entries {
		c.stopEntry(i)
	}
	for _, b := range c.backends {
		b.Close()
	}
	c.client.CloseIdleConnections()
	c.http.CloseClientConnections()
	c.http.Close()
}

// callers and operators return the addresses of these listeners of entry i.
func (c *cluster) callers(i int) string   { return c.entries[i].conf.Listen.Callers }
func (c *cluster) operators(i int) string { return c.entries[i].conf.Listen.Operators }

func (c *cluster) waitFor(desc string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, testTimeout, 5*time.Millisecond, desc)
}

// response is an HTTP response with its body, or the error of the request.
type response struct {
	status int
	header http.Header
	body   string
	err    error // of sending the request or of reading the body
}

func (r response) runState() string { return r.header.Get("Lentilpin-Run") }

func (c *cluster) get(address, path string) response {
	return c.send(http.MethodGet, address, path, "", "")
}

func (c *cluster) send(method, address, path, key, body string) response {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return c.sendRequest(req)
}

func (c *cluster) sendRequest(req *http.Request) response {
	resp, err := c.client.Do(req)
	if err != nil {
		return response{err: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(text), err}
}

// key returns a new idempotency key issued by entry i.
func (c *cluster) key(i int) string {
	resp := c.send(http.MethodPost, c.callers(i), "/.lentilpin/keys", "", "")
	require.NoError(c.t, resp.err)
	var out struct{ Keys []string }
	require.NoError(c.t, json.Unmarshal([]byte(resp.body), &out))
	return out.Keys[0]
}

// countRuns returns how often each order started to run, summed over the backend
// servers.
func (c *cluster) countRuns() map[string]int { return backend.SumRuns(c.backends).Runs }

// sendRaw sends text over a new connection and returns the first bytes of the
// reply.
func (c *cluster) sendRaw(address, text string) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(c.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(c.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(c.t, err)
	buf := make([]byte, 64)
	n, _ := io.ReadAtLeast(conn, buf, 12)
	return string(buf[:n])
}
