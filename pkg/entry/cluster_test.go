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

// patience bounds every wait for an event; no test asserts on a duration.
const patience = 20 * time.Second

const clusterTree = `{"version": 1, "fleet": {"defaults": {"timeoutMs": 10000, "attemptTimeoutMs": 5000,
  "keys": {"claimMs": 2000, "grantMs": 5000}, "outlier": {"slowStartMs": 0}, "queue": {"maxWaitMs": 5000}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

// cluster is some entries in this process in front of backend stand-ins, all
// over loopback sockets.
type cluster struct {
	t        testing.TB
	platform *platform.Server
	http     *httptest.Server
	backends []*backend.Server
	entries  []*running
	client   *http.Client
}

type running struct {
	*Entry
	stop context.CancelFunc
	done chan error
}

func newCluster(t testing.TB, entries int, configs ...backend.Config) *cluster {
	c := &cluster{t: t, platform: platform.New(0), client: &http.Client{Transport: &http.Transport{}}}
	c.http = httptest.NewServer(c.platform.Reader())
	require.NoError(t, c.platform.Publish([]byte(clusterTree)))
	var list []platform.Instance
	for i, conf := range configs {
		conf.Listen = "127.0.0.1:0"
		b, err := backend.Start(conf)
		require.NoError(t, err)
		c.backends = append(c.backends, b)
		list = append(list, platform.Instance{
			Name: fmt.Sprintf("b-%d", i), Kind: "backend", Service: "shop", Address: b.Address(),
			FailureDomain: fmt.Sprintf("fd-%d", i%entries), State: "live",
		})
	}
	var ls []*Listeners
	var addresses []string
	for i := range entries {
		l, err := Listen(t.Context(), static.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"})
		require.NoError(t, err)
		ls = append(ls, l)
		addresses = append(addresses, l.Peers.Addr().String())
		list = append(list, platform.Instance{
			Name: fmt.Sprintf("e-%d", i), Kind: "entry", Address: addresses[i],
			FailureDomain: fmt.Sprintf("fd-%d", i), State: "live", Ordinal: i,
		})
	}
	c.platform.SetInstances(list)
	for i, l := range ls {
		c.start(i, l, addresses)
	}
	t.Cleanup(c.close)
	for i := range entries {
		c.await(fmt.Sprintf("entry %d ready", i), func() bool { return c.get(c.operators(i), "/readyz").status == http.StatusOK })
	}
	return c
}

func (c *cluster) start(i int, l *Listeners, peers []string) {
	text, err := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("e-%d", i), "region": "r", "failureDomain": fmt.Sprintf("fd-%d", i), "ordinal": i,
		"listen":   map[string]string{"callers": l.Callers.Addr().String(), "peers": l.Peers.Addr().String(), "operators": l.Operators.Addr().String()},
		"platform": c.http.URL, "seedPeers": peers,
		"secrets":  map[string]any{"keySigning": []string{strings.Repeat("k", 32)}, "peer": strings.Repeat("p", 16), "operator": strings.Repeat("o", 16)},
		"shutdown": map[string]int{"drainMs": 50, "graceMs": 15000},
	})
	require.NoError(c.t, err)
	conf, err := static.Parse(text)
	require.NoError(c.t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Entry: New(conf, log), stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- r.Run(ctx, l) }()
	c.entries = append(c.entries, r)
}

// shutdown stops an entry gracefully and waits for it.
func (c *cluster) shutdown(i int) {
	c.entries[i].stop()
	select {
	case err := <-c.entries[i].done:
		require.NoError(c.t, err)
		c.entries[i].done <- nil
	case <-time.After(patience):
		require.Fail(c.t, "the entry did not stop")
	}
}

func (c *cluster) close() {
	for i := range c.entries {
		c.shutdown(i)
	}
	for _, b := range c.backends {
		b.Close()
	}
	c.client.CloseIdleConnections()
	c.http.CloseClientConnections()
	c.http.Close()
}

func (c *cluster) callers(i int) string   { return c.entries[i].conf.Listen.Callers }
func (c *cluster) operators(i int) string { return c.entries[i].conf.Listen.Operators }

func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	require.Eventually(c.t, f, patience, 5*time.Millisecond, what)
}

type got struct {
	status int
	header http.Header
	body   string
	err    error // of the call or of reading the body
}

func (g got) run() string { return g.header.Get("Lentilpin-Run") }

func (c *cluster) get(address, path string) got {
	return c.do(http.MethodGet, address, path, "", "")
}

func (c *cluster) do(method, address, path, key, body string) got {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return got{err: err}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return c.send(req)
}

func (c *cluster) send(req *http.Request) got {
	resp, err := c.client.Do(req)
	if err != nil {
		return got{err: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header, string(text), err}
}

func (c *cluster) key(i int) string {
	g := c.do(http.MethodPost, c.callers(i), "/.lentilpin/keys", "", "")
	require.NoError(c.t, g.err)
	var out struct{ Keys []string }
	require.NoError(c.t, json.Unmarshal([]byte(g.body), &out))
	return out.Keys[0]
}

func (c *cluster) runs() map[string]int { return backend.Sum(c.backends).Runs }

// raw sends bytes over a connection of its own and returns the first bytes of
// the reply.
func (c *cluster) raw(address, text string) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(c.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(c.t, conn.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(conn, text)
	require.NoError(c.t, err)
	buf := make([]byte, 64)
	n, _ := io.ReadAtLeast(conn, buf, 12)
	return string(buf[:n])
}
