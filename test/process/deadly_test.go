package process

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/platform"
)

// deadlyTree states a quarantine of 1 s at first, then of 12 s.
const deadlyTree = `{"version": 2, "fleet": {"defaults": {"timeoutMs": 8000, "attemptTimeoutMs": 6000, "requireKey": false,
  "outlier": {"slowStartMs": 0}, "quarantine": {"durationMs": 12000}}},
 "regions": {"r": {"services": {"shop": {}}}}}`

const (
	deadlyPath    = "/shop/deadly"
	crashDowntime = 500 * time.Millisecond
)

// crashingServer is a backend server that ends all its connections, and accepts none for
// crashDowntime, when it begins to run a request for deadlyPath.
type crashingServer struct {
	address string
	ran     *atomic.Int32 // deadly requests that all servers began to run

	mu     sync.Mutex
	server *http.Server
	closed bool
}

func newCrashingServer(t *testing.T, ran *atomic.Int32) *crashingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &crashingServer{address: l.Addr().String(), ran: ran}
	s.serve(l)
	t.Cleanup(func() { s.stop(true) })
	return s
}

func (s *crashingServer) serve(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	s.server = &http.Server{Handler: s}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
}

func (s *crashingServer) stop(forever bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = s.closed || forever
	_ = s.server.Close()
}

// ServeHTTP implements http.Handler.
func (s *crashingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != deadlyPath {
		return
	}
	s.ran.Add(1)
	s.stop(false)
	time.AfterFunc(crashDowntime, func() {
		if l, err := net.Listen("tcp", s.address); err == nil {
			s.serve(l)
		}
	})
	panic(http.ErrAbortHandler)
}

// sendToAll sends the deadly request to all entries at the same time.
func (f *fleet) sendToAll(method string, entries int) {
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() { _, _ = f.send(method, i, ":7000"+deadlyPath, "", nil) })
	}
	wg.Wait()
}

// Guards against entries that each need two crashed backend servers of their own before
// they refuse a request, and against a trial of each entry when the first quarantine ends.
func TestDeadlyRequestReachesFewBackendServers(t *testing.T) {
	const (
		entries    = 5
		maxCrashes = 2 + 1 + 1 // the evidence, a trial, and one more trial on a slow machine
	)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			f := newFleet(t, entries)
			var ran atomic.Int32
			var list []platform.Instance
			for i := range 12 {
				b := newCrashingServer(t, &ran)
				list = append(list, platform.Instance{Name: fmt.Sprint("c-", i), Kind: "backend", Service: "shop", Address: b.address, FailureDomain: "fd-0", State: "live"})
			}
			for i := range entries {
				list = append(list, platform.Instance{Name: fmt.Sprintf("e-%d", i), Kind: "entry", Address: loopbackIP(i) + ":7001", FailureDomain: "fd-0", State: "live", Ordinal: i})
			}
			require.NoError(t, f.platform.Publish([]byte(deadlyTree)))
			f.platform.SetInstances(list)
			for i := range entries {
				require.Eventually(t, func() bool {
					resp, err := f.send(http.MethodPost, i, ":7000/shop/ordinary", "", nil)
					return err == nil && resp.status == http.StatusOK && resp.body == "" // from the servers of the new list
				}, testTimeout, 10*time.Millisecond)
			}
			// Each of these entries sees one crash at most.
			for i := range entries {
				_, err := f.send(method, i, ":7000"+deadlyPath, "", nil)
				require.NoError(t, err)
				if ran.Load() >= 2 {
					break
				}
			}
			for i := range entries {
				require.Eventually(t, func() bool {
					log := f.entries[i].log.String()
					return strings.Contains(log, "request_quarantined") || strings.Contains(log, "quarantine_merged")
				}, testTimeout, 10*time.Millisecond, "entry %d does not know of the request, which has crashed %d backend servers", i, ran.Load())
			}
			// The first quarantine ends during these rounds.
			for range 15 {
				f.sendToAll(method, entries)
				time.Sleep(100 * time.Millisecond)
			}
			require.LessOrEqual(t, ran.Load(), int32(maxCrashes))
			resp, err := f.send(http.MethodPost, 0, ":7000/shop/ordinary", "", nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.status)
		})
	}
}
