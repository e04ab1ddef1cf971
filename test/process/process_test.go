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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/buildinfo"
	"lentilpin/standin/backend"
	"lentilpin/standin/platform"
)

// testTimeout bounds every wait for an event; no test asserts on a duration.
const testTimeout = 30 * time.Second

var entryBinary string // path of the lentilpin-entry that TestMain has built

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lentilpin-process")
	if err != nil {
		panic(err)
	}
	entryBinary = filepath.Join(dir, "lentilpin-entry")
	if out, err := exec.Command("go", "build", "-o", entryBinary, "lentilpin/cmd/lentilpin-entry").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const treeText = `{"version": 1, "fleet": {"defaults": {"timeoutMs": 8000, "attemptTimeoutMs": 6000,
  "keys": {"claimMs": 1000, "grantMs": 2000}, "outlier": {"slowStartMs": 0}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

// fleet is a group of entry processes with stand-ins for the platform and for one
// backend server.
type fleet struct {
	t              *testing.T
	platform       *platform.Server
	platformServer *httptest.Server
	backend        *backend.Server
	entries        []*process
	limits         map[string]int // limits of the settings files
}

// process is one run of an entry.
type process struct {
	cmd     *exec.Cmd
	address string // IP address without port
	log     *logBuffer
	exited  chan struct{}
}

// logBuffer holds the log of a process. It can be read while the process runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns what the process has logged so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// loopbackIP returns the IP address of entry i. Each entry has its own address, so
// that fixed ports are free whatever else runs: the kernel assigns ports for
// outgoing loopback connections on 127.0.0.1 only.
func loopbackIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, os.Getpid()/64%256, 10+i)
}

// newFleet starts the stand-ins and the given number of entries and waits until
// the entries are ready.
func newFleet(t *testing.T, entries int) *fleet {
	return newFleetWith(t, entries, treeText, backend.Config{ServiceTime: "const:1"}, nil)
}

// newFleetWith is newFleet with another tree, backend server and limits.
func newFleetWith(t *testing.T, entries int, tree string, config backend.Config, limits map[string]int) *fleet {
	f := &fleet{t: t, platform: platform.New(0), limits: limits}
	f.platformServer = httptest.NewServer(f.platform.ReadHandler())
	t.Cleanup(f.platformServer.Close)
	t.Cleanup(f.platformServer.CloseClientConnections)
	config.Listen = "127.0.0.1:0"
	b, err := backend.Start(config)
	require.NoError(t, err)
	t.Cleanup(b.Close)
	f.backend = b
	require.NoError(t, f.platform.Publish([]byte(tree)))
	list := []platform.Instance{{Name: "b", Kind: "backend", Service: "shop", Address: b.Address(), FailureDomain: "fd-0", State: "live"}}
	for i := range entries {
		list = append(list, platform.Instance{Name: fmt.Sprintf("e-%d", i), Kind: "entry", Address: loopbackIP(i) + ":7001", FailureDomain: "fd-0", State: "live", Ordinal: i})
	}
	f.platform.SetInstances(list)
	for i := range entries {
		f.startEntry(i, entries)
	}
	for i := range entries {
		f.waitUntilReady(i)
	}
	return f
}

// writeSettings writes the settings file of entry i and returns its path.
func (f *fleet) writeSettings(i, entries int) string {
	var peers []string
	for j := range entries {
		peers = append(peers, loopbackIP(j)+":7001")
	}
	limits := f.limits
	if limits == nil {
		limits = map[string]int{}
	}
	text, err := json.Marshal(map[string]any{
		"limits": limits, "instance": fmt.Sprintf("e-%d", i), "region": "r", "failureDomain": "fd-0", "ordinal": i,
		"listen":   map[string]string{"callers": loopbackIP(i) + ":7000", "peers": loopbackIP(i) + ":7001", "operators": loopbackIP(i) + ":7002"},
		"platform": f.platformServer.URL, "seedPeers": peers,
		"secrets":  map[string]any{"keySigning": []string{strings.Repeat("k", 32)}, "peer": strings.Repeat("p", 16), "operator": strings.Repeat("o", 16)},
		"shutdown": map[string]int{"drainMs": 100, "graceMs": 10000},
	})
	require.NoError(f.t, err)
	path := filepath.Join(f.t.TempDir(), "entry.json")
	require.NoError(f.t, os.WriteFile(path, text, 0o600))
	return path
}

// startEntry starts entry i of entries and appends its process to f.entries.
func (f *fleet) startEntry(i, entries int) {
	p := &process{address: loopbackIP(i), log: &logBuffer{}, exited: make(chan struct{})}
	p.cmd = exec.Command(entryBinary, "--settings", f.writeSettings(i, entries))
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log // the same writer for both, so that exec serializes writes
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

// freeze sends SIGSTOP to a process and waits until the kernel has stopped it.
// Signals are delivered asynchronously, and until then the process serves
// requests.
func (f *fleet) freeze(i int) {
	f.signal(i, syscall.SIGSTOP)
	require.Eventually(f.t, func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.entries[i].cmd.Process.Pid))
		if err != nil {
			return false
		}
		_, after, _ := strings.Cut(string(stat), ") ")
		return strings.HasPrefix(after, "T")
	}, testTimeout, time.Millisecond)
}

// waitForExitCode waits until the process has exited and returns its exit code.
func (f *fleet) waitForExitCode(i int) int {
	select {
	case <-f.entries[i].exited:
		return f.entries[i].cmd.ProcessState.ExitCode()
	case <-time.After(testTimeout):
		require.Fail(f.t, "the process did not exit")
		return 0
	}
}

func (f *fleet) waitUntilReady(i int) {
	require.Eventually(f.t, func() bool {
		resp, err := f.send(http.MethodGet, i, ":7002/readyz", "", nil)
		return err == nil && resp.status == http.StatusOK
	}, testTimeout, 10*time.Millisecond)
}

type response struct {
	status int
	run    string // Lentilpin-Run
	body   string
	header http.Header
}

// send sends a request to entry i on a new connection. path starts with the port
// of the listener, and key is the idempotency key, if not empty.
func (f *fleet) send(method string, i int, path, key string, header http.Header) (response, error) {
	req, err := http.NewRequest(method, "http://"+loopbackIP(i)+path, strings.NewReader(""))
	if err != nil {
		return response{}, err
	}
	if header != nil {
		req.Header = header
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Lentilpin-Run"), string(body), resp.Header}, err
}

// key returns a new idempotency key that entry i has issued and owns.
func (f *fleet) key(i int) string {
	resp, err := f.send(http.MethodGet, i, ":7000/shop/items/1", "", nil)
	require.NoError(f.t, err)
	key := resp.header.Get("Lentilpin-Key")
	require.NotEmpty(f.t, key)
	return key
}

// Guards against an order that runs again after the entry that owns its key was
// killed, and against a response that states an outcome although only the killed
// owner knew it.
func TestKilledOwner(t *testing.T) {
	f := newFleet(t, 2)
	used, unused := f.key(0), f.key(0)
	resp, err := f.send(http.MethodPost, 1, ":7000/shop/orders/used", used, nil)
	require.NoError(t, err)
	require.Equal(t, "ran", resp.run)
	f.signal(0, syscall.SIGKILL)
	f.waitForExitCode(0)
	for _, key := range []string{used, unused} {
		resp, err = f.send(http.MethodPost, 1, ":7000/shop/orders/used", key, nil)
		require.NoError(t, err)
		require.Equal(t, "unknown", resp.run, resp.body)
	}
	require.Equal(t, 1, f.backend.Runs()["/shop/orders/used"])
}

// Guards against an entry that resumes after a freeze and serves without noticing
// the elapsed time. It must confirm its settings first, and an order that it
// received while frozen must run at most once.
func TestFrozenEntryResumes(t *testing.T) {
	f := newFleet(t, 2)
	key := f.key(1)
	f.freeze(0)
	type result struct {
		response
		err error
	}
	results := make(chan result, 1)
	go func() {
		resp, err := f.send(http.MethodPost, 0, ":7000/shop/orders/late", key, nil)
		results <- result{resp, err}
	}()
	time.Sleep(3 * time.Second) // exceeds the pause threshold and grantMs
	newTree := strings.Replace(treeText, `"version": 1`, `"version": 2`, 1)
	require.NoError(t, f.platform.Publish([]byte(newTree)))
	resp, err := f.send(http.MethodPost, 1, ":7000/shop/orders/late", key, nil)
	require.NoError(t, err)
	require.Equal(t, "ran", resp.run, resp.body)
	f.signal(0, syscall.SIGCONT)
	late := <-results
	require.NoError(t, late.err)
	require.NotEqual(t, "not_run", late.run, late.body)
	f.waitUntilReady(0)
	require.Equal(t, 1, f.backend.Runs()["/shop/orders/late"])
	f.signal(0, syscall.SIGTERM)
	require.Zero(t, f.waitForExitCode(0))
	require.Contains(t, f.entries[0].log.String(), "process_paused")
}

// Guards against an order that runs more than once because the owner of its key
// was frozen. While the owner is frozen, the outcome is unknown and the order does
// not run; after that it runs at most once.
func TestFrozenOwner(t *testing.T) {
	f := newFleet(t, 2)
	key := f.key(0)
	f.freeze(0)
	resp, err := f.send(http.MethodPost, 1, ":7000/shop/orders/x", key, nil)
	require.NoError(t, err)
	require.Equal(t, "unknown", resp.run, resp.body)
	require.Zero(t, f.backend.Runs()["/shop/orders/x"])
	f.signal(0, syscall.SIGCONT)
	f.waitUntilReady(0)
	for range 3 {
		_, err = f.send(http.MethodPost, 1, ":7000/shop/orders/x", key, nil)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, f.backend.Runs()["/shop/orders/x"], 1)
}

// stopDuringRequest starts an entry, sends a read to it and then SIGTERM. It returns when
// the shutdown has begun: the index of the entry, and the response when it arrives.
func (f *fleet) stopDuringRequest(path string) (entry int, answered chan response) {
	f.startEntry(0, 1)
	f.waitUntilReady(0)
	entry, answered = len(f.entries)-1, make(chan response, 1)
	before := f.backend.Stats().Requests
	go func() {
		resp, _ := f.send(http.MethodGet, 0, ":7000"+path, "", nil)
		answered <- resp
	}()
	require.Eventually(f.t, func() bool { return f.backend.Stats().Requests > before }, testTimeout, time.Millisecond)
	f.signal(entry, syscall.SIGTERM)
	require.Eventually(f.t, func() bool {
		resp, err := f.send(http.MethodGet, 0, ":7002/readyz", "", nil)
		return err == nil && resp.status == http.StatusServiceUnavailable
	}, testTimeout, time.Millisecond)
	return entry, answered
}

// Guards against wrong exit codes after one SIGTERM, after a SIGINT during the graceful
// shutdown, and for an invalid settings file; and against a SIGTERM or SIGHUP during the
// shutdown that ends the process before the request in progress.
func TestExitCodes(t *testing.T) {
	f := newFleet(t, 1)
	f.signal(0, syscall.SIGTERM)
	require.Equal(t, buildinfo.ExitOK, f.waitForExitCode(0), f.entries[0].log.String())

	f.backend.SetFaults(backend.Faults{SlowAddMS: 5000})
	entry, answered := f.stopDuringRequest("/shop/items/1")
	f.signal(entry, syscall.SIGTERM)
	f.signal(entry, syscall.SIGHUP)
	require.Equal(t, http.StatusOK, (<-answered).status)
	require.Equal(t, buildinfo.ExitOK, f.waitForExitCode(entry))

	entry, _ = f.stopDuringRequest("/shop/items/2")
	f.signal(entry, syscall.SIGINT)
	require.Equal(t, buildinfo.ExitAborted, f.waitForExitCode(entry))

	badSettings := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(badSettings, []byte(`{"instance": "UPPER"}`), 0o600))
	out, err := exec.Command(entryBinary, "--settings", badSettings, "--check").CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, buildinfo.ExitUsage, exit.ExitCode())
	require.Contains(t, string(out), "/instance")
}
