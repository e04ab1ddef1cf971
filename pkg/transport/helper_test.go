package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout ends a test that hangs. No assertion depends on it.
const testTimeout = 20 * time.Second

// waitReuseDelay waits until idle connections may be reused by the next
// exchange.
func waitReuseDelay() { time.Sleep(2 * time.Millisecond) }

// settings returns the default settings, modified by change if it is not nil.
func settings(change func(*dynamic.Service)) func() *dynamic.Service {
	tree, err := dynamic.Parse([]byte(`{"version": 1, "fleet": {"defaults": {}},
		"regions": {"fi": {"defaults": {}, "services": {"varasto": {}}}}}`))
	if err != nil {
		panic(err)
	}
	s := tree.Lookup("fi", "varasto").Service
	if change != nil {
		change(&s)
	}
	return func() *dynamic.Service { return &s }
}

// fakeRecorder counts events by number.
type fakeRecorder struct {
	mu     sync.Mutex
	counts map[int]int
}

func (r *fakeRecorder) Record(e *events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[int]int{}
	}
	r.counts[e.Number]++
}

func (r *fakeRecorder) count(number int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[number]
}

func newPool(t testing.TB, change func(*dynamic.Service), o transport.Options) *transport.Pool {
	o.Settings = settings(change)
	p := transport.NewPool(o)
	t.Cleanup(p.Close)
	return p
}

func startServer(t testing.TB, handle func(c net.Conn, number int)) *socket.Server {
	s, err := socket.Listen(handle)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func withTimeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func newGetRequest(target string) *transport.Request {
	return &transport.Request{Method: http.MethodGet, Target: target, Host: "varasto", Idempotent: true}
}

func newPostRequest(target string, body []byte) *transport.Request {
	return &transport.Request{Method: http.MethodPost, Target: target, Host: "varasto", Body: body}
}

// fetch performs an exchange and reads the body.
func fetch(ctx context.Context, p *transport.Pool, address string, r *transport.Request) (*transport.Response, []byte, error) {
	resp, f := p.Do(ctx, address, r)
	if f != nil {
		return nil, nil, f
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func socketPair() (client, peer net.Conn) {
	client, peer, err := socket.Pair()
	if err != nil {
		panic(err)
	}
	return client, peer
}
