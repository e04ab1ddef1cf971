package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/buildinfo"
	"lentilpin/standin/backend"
	"lentilpin/standin/platform"
)

// patience bounds every wait for an event; no test asserts on a duration.
const patience = 30 * time.Second

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lentilpin-process")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "lentilpin-entry")
	if out, err := exec.Command("go", "build", "-o", binary, "lentilpin/cmd/lentilpin-entry").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const tree = `{"version": 1, "fleet": {"defaults": {"timeoutMs": 8000, "attemptTimeoutMs": 6000,
  "keys": {"claimMs": 1000, "grantMs": 2000}, "outlier": {"slowStartMs": 0}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

type fleet struct {
	t        *testing.T
	platform *platform.Server
	web      *httptest.Server
	backend  *backend.Server
	entries  []*process
}

type process struct {
	cmd     *exec.Cmd
	address string // without port
	log     *bytes.Buffer
	exited  chan struct{}
}

// host gives each process an address of its own, so that fixed ports are free
// whatever else runs: the kernel takes ports for outgoing connections on
// 127.0.0.1 only.
func host(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256, 10+i)
}

func newFleet(t *testing.T, entries int) *fleet {
	f := &fleet{t: t, platform: platform.New(0)}
	f.web = httptest.NewServer(f.platform.Reader())
	t.Cleanup(f.web.Close)
	t.Cleanup(f.web.CloseClientConnections)
	b, err := backend.Start(backend.Config{Listen: "127.0.0.1:0", ServiceTime: "const:1"})
	require.NoError(t, err)
	t.Cleanup(b.Close)
	f.backend = b
	require.NoError(t, f.platform.Publish([]byte(tree)))
	list := []platform.Instance{{Name: "b", Kind: "backend", Service: "shop", Address: b.Address(), FailureDomain: "fd-0", State: "live"}}
	for i := range entries {
		list = append(list, platform.Instance{Name: fmt.Sprintf("e-%d", i), Kind: "entry", Address: host(i) + ":7001", FailureDomain: "fd-0", State: "live", Ordinal: i})
	}
	f.platform.SetInstances(list)
	for i := range entries {
		f.start(i, entries)
	}
	for i := range entries {
		f.awaitReady(i)
	}
	return f
}

func (f *fleet) settings(i, entries int) string {
	var peers []string
	for j := range entries {
		peers = append(peers, host(j)+":7001")
	}
	text, err := json.Marshal(map[string]any{
		"instance": fmt.Sprintf("e-%d", i), "region": "r", "failureDomain": "fd-0", "ordinal": i,
		"listen":   map[string]string{"callers": host(i) + ":7000", "peers": host(i) + ":7001", "operators": host(i) + ":7002"},
		"platform": f.web.URL, "seedPeers": peers,
		"secrets":  map[string]any{"keySigning": []string{strings.Repeat("k", 32)}, "peer": strings.Repeat("p", 16), "operator": strings.Repeat("o", 16)},
		"shutdown": map[string]int{"drainMs": 100, "graceMs": 10000},
	})
	require.NoError(f.t, err)
	path := filepath.Join(f.t.TempDir(), "entry.json")
	require.NoError(f.t, os.WriteFile(path, text, 0o600))
	return path
}

func (f *fleet) start(i, entries int) {
	p := &process{address: host(i), log: &bytes.Buffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(binary, "--settings", f.settings(i, entries))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log // one writer for both, so that exec serialises them
	require.NoError(f.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	f.entries = append(f.entries, p)
}

func (f *fleet) signal(i int, s syscall.Signal) {
	require.NoError(f.t, f.entries[i].cmd.Process.Signal(s))
}

// freeze stops a process and waits until the kernel has stopped it: a signal is
// delivered some time after it was sent, and until then requests are served.
func (f *fleet) freeze(i int) {
	f.signal(i, syscall.SIGSTOP)
	require.Eventually(f.t, func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.entries[i].cmd.Process.Pid))
		if err != nil {
			return false
		}
		_, after, _ := strings.Cut(string(stat), ") ")
		return strings.HasPrefix(after, "T")
	}, patience, time.Millisecond)
}

func (f *fleet) exitCode(i int) int {
	select {
	case <-f.entries[i].exited:
		return f.entries[i].cmd.ProcessState.ExitCode()
	case <-time.After(patience):
		require.Fail(f.t, "the process did not end")
		return 0
	}
}

func (f *fleet) awaitReady(i int) {
	require.Eventually(f.t, func() bool {
		g, err := f.do(http.MethodGet, i, ":7002/readyz", "", nil)
		return err == nil && g.status == http.StatusOK
	}, patience, 10*time.Millisecond)
}

type got struct {
	status int
	run    string
	body   string
	header http.Header
}

func (f *fleet) do(method string, i int, path, key string, header http.Header) (got, error) {
	req, err := http.NewRequest(method, "http://"+host(i)+path, strings.NewReader(""))
	if err != nil {
		return got{}, err
	}
	if header != nil {
		req.Header = header
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		return got{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header.Get("Lentilpin-Run"), string(body), resp.Header}, err
}

func (f *fleet) key(i int) string {
	g, err := f.do(http.MethodGet, i, ":7000/shop/items/1", "", nil)
	require.NoError(f.t, err)
	key := g.header.Get("Lentilpin-Key")
	require.NotEmpty(f.t, key)
	return key
}

// Guards against an order that runs again when the entry that owns its key was
// killed, and against an answer that claims to know what nobody knows.
func TestKilledOwner(t *testing.T) {
	f := newFleet(t, 2)
	used, unused := f.key(0), f.key(0)
	g, err := f.do(http.MethodPost, 1, ":7000/shop/orders/used", used, nil)
	require.NoError(t, err)
	require.Equal(t, "ran", g.run)
	f.signal(0, syscall.SIGKILL)
	f.exitCode(0)
	for _, key := range []string{used, unused} {
		g, err = f.do(http.MethodPost, 1, ":7000/shop/orders/used", key, nil)
		require.NoError(t, err)
		require.Equal(t, "unknown", g.run, g.body)
	}
	require.Equal(t, 1, f.backend.Runs()["/shop/orders/used"])
}

// Guards against a process that was frozen and serves on as if no time had
// passed: it confirms its settings first, and an order that it took before the
// freeze runs at most once.
func TestFrozenEntryWakesLate(t *testing.T) {
	f := newFleet(t, 2)
	key := f.key(1)
	f.freeze(0)
	type answer struct {
		got
		err error
	}
	late := make(chan answer, 1)
	go func() {
		g, err := f.do(http.MethodPost, 0, ":7000/shop/orders/late", key, nil)
		late <- answer{g, err}
	}()
	time.Sleep(3 * time.Second) // longer than the pause threshold and the grant
	next := strings.Replace(tree, `"version": 1`, `"version": 2`, 1)
	require.NoError(t, f.platform.Publish([]byte(next)))
	g, err := f.do(http.MethodPost, 1, ":7000/shop/orders/late", key, nil)
	require.NoError(t, err)
	require.Equal(t, "ran", g.run, g.body)
	f.signal(0, syscall.SIGCONT)
	a := <-late
	require.NoError(t, a.err)
	require.NotEqual(t, "not_run", a.run, a.body)
	f.awaitReady(0)
	require.Equal(t, 1, f.backend.Runs()["/shop/orders/late"])
	f.signal(0, syscall.SIGTERM)
	require.Zero(t, f.exitCode(0))
	require.Contains(t, f.entries[0].log.String(), "process_paused")
}

// Guards against keys that become runnable again when their owner was frozen:
// while it is, they resolve to unknown, and afterwards they run once.
func TestFrozenOwner(t *testing.T) {
	f := newFleet(t, 2)
	key := f.key(0)
	f.freeze(0)
	g, err := f.do(http.MethodPost, 1, ":7000/shop/orders/x", key, nil)
	require.NoError(t, err)
	require.Equal(t, "unknown", g.run, g.body)
	require.Zero(t, f.backend.Runs()["/shop/orders/x"])
	f.signal(0, syscall.SIGCONT)
	f.awaitReady(0)
	for range 3 {
		_, err = f.do(http.MethodPost, 1, ":7000/shop/orders/x", key, nil)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, f.backend.Runs()["/shop/orders/x"], 1)
}

// Guards against signals and settings errors with the wrong exit code.
func TestExitCodes(t *testing.T) {
	f := newFleet(t, 1)
	f.signal(0, syscall.SIGTERM)
	require.Equal(t, buildinfo.ExitOK, f.exitCode(0), f.entries[0].log.String())

	f.start(0, 1)
	f.awaitReady(0)
	f.backend.SetFaults(backend.Faults{SlowAddMS: 5000})
	before := f.backend.Stats().Requests
	go func() { _, _ = f.do(http.MethodGet, 0, ":7000/shop/items/1", "", nil) }()
	require.Eventually(t, func() bool { return f.backend.Stats().Requests > before }, patience, time.Millisecond)
	f.signal(len(f.entries)-1, syscall.SIGTERM)
	require.Eventually(t, func() bool {
		g, err := f.do(http.MethodGet, 0, ":7002/readyz", "", nil)
		return err == nil && g.status == http.StatusServiceUnavailable
	}, patience, time.Millisecond)
	f.signal(len(f.entries)-1, syscall.SIGTERM)
	require.Equal(t, buildinfo.ExitAborted, f.exitCode(len(f.entries)-1))

	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"instance": "UPPER"}`), 0o600))
	out, err := exec.Command(binary, "--settings", bad, "--check").CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, buildinfo.ExitUsage, exit.ExitCode())
	require.Contains(t, string(out), "/instance")
}
