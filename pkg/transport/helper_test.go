package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/transport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience ends a test that hangs. No assertion depends on it.
const patience = 20 * time.Second

// settings returns the defaults with a change.
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

// recorder counts events by number.
type recorder struct {
	mu    sync.Mutex
	count map[int]int
}

func (r *recorder) Record(e *events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = map[int]int{}
	}
	r.count[e.Number]++
}

func (r *recorder) seen(number int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[number]
}

func newPool(t testing.TB, change func(*dynamic.Service), o transport.Options) *transport.Pool {
	o.Settings = settings(change)
	p := transport.NewPool(o)
	t.Cleanup(p.Close)
	return p
}

// server accepts connections on loopback and gives each to serve in its own
// goroutine, with its number from 1. It closes a connection when serve returns.
type server struct {
	net.Listener
	mu       sync.Mutex
	accepted int
	conns    []net.Conn
	done     sync.WaitGroup
}

func serve(t testing.TB, handle func(c net.Conn, number int)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{Listener: l}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.accepted++
			number := s.accepted
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.done.Add(1)
			go func() {
				defer s.done.Done()
				defer c.Close()
				handle(c, number)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		s.done.Wait()
	})
	return s
}

func (s *server) address() string { return s.Addr().String() }

func (s *server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// requests calls answer for each request of a connection until it returns false.
func requests(c net.Conn, answer func(r *http.Request, body []byte) bool) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !answer(r, body) {
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func timeout(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func get(target string) *transport.Request {
	return &transport.Request{Method: http.MethodGet, Target: target, Host: "varasto", Idempotent: true}
}

func post(target string, body []byte) *transport.Request {
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

// socketPair returns two connected sockets. What one side has written is
// readable at the other side at once, unlike over TCP, so a test can place
// bytes before an exchange starts.
func socketPair() (client, peer net.Conn) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		panic(err)
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "socketpair")
		if ends[i], err = net.FileConn(f); err != nil {
			panic(err)
		}
		_ = f.Close()
	}
	return ends[0], ends[1]
}
