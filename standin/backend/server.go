package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultRefuse   = time.Second
	relistenPeriod  = 10 * time.Millisecond
	headerReadTime  = 5 * time.Second
	maxTrackedOrder = 1 << 20 // order identifiers; more are counted, not told apart
)

// Server is one backend server stand-in.
type Server struct {
	config  Config
	service *Distribution
	slots   slots
	start   time.Time
	address string

	faults  atomic.Pointer[Faults]
	latency atomic.Int64 // nanoseconds, moving mean of recent requests

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	server   *http.Server
	conns    map[*conn]struct{}
	runs     map[string]int
	stats    Stats
	closed   bool
	wake     chan struct{} // closed by Close
	done     sync.WaitGroup
}

// Start listens and serves until Close or Shutdown.
func Start(c Config) (*Server, error) {
	c.setDefaults()
	d, err := ParseDistribution(c.ServiceTime, c.Seed)
	if err != nil {
		return nil, err
	}
	l, err := listenLoopback(c.Listen)
	if err != nil {
		return nil, err
	}
	setDefault(&c.Name, l.Addr().String())
	s := &Server{
		config: c, service: d, start: time.Now(), address: l.Addr().String(),
		slots: slots{total: c.Slots, maxQueue: c.Queue},
		conns: map[*conn]struct{}{}, runs: map[string]int{}, wake: make(chan struct{}), listener: l,
	}
	s.faults.Store(&Faults{})
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerReadTime}
	s.done.Add(1)
	go s.run(l)
	return s, nil
}

func listenLoopback(address string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	if !a.IP.IsLoopback() {
		return nil, errors.Errorf("%q is not a loopback address", address)
	}
	return net.ListenTCP("tcp", a)
}

// Address returns the address of the business listener.
func (s *Server) Address() string { return s.address }

// Name returns the configured name.
func (s *Server) Name() string { return s.config.Name }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// Runs returns how often each order started to run.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for order, n := range s.runs {
		out[order] = n
	}
	return out
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Name, out.Address, out.Connections = s.config.Name, s.address, int64(len(s.conns))
	return out
}

func (s *Server) count(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// Silence makes every open connection silent for good: nothing is read from it
// or written to it any more, and it stays open. New connections work.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// Crash closes all connections with a reset and refuses new ones for a while.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil || s.closed {
		return
	}
	s.stats.Crashes++
	_ = s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		_ = c.reset()
	}
}

// run serves, and listens again after a crash.
func (s *Server) run(l net.Listener) {
	defer s.done.Done()
	for l != nil {
		_ = s.server.Serve(&listener{Listener: l, server: s})
		l = s.relisten()
	}
}

// relisten returns nil after Close.
func (s *Server) relisten() net.Listener {
	pause := time.Duration(s.Faults().RefuseMS) * time.Millisecond
	if pause <= 0 {
		pause = defaultRefuse
	}
	for {
		select {
		case <-s.wake:
			return nil
		case <-time.After(pause):
		}
		if l, err := listenLoopback(s.address); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				_ = l.Close()
				return nil
			}
			s.listener = l
			return l
		}
		pause = relistenPeriod
	}
}

func (s *Server) markClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closed = true
	close(s.wake)
	return true
}

// Shutdown lets requests in flight finish until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if !s.markClosed() {
		return nil
	}
	err := s.server.Shutdown(ctx)
	s.closeAll()
	s.done.Wait()
	return err
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	if !s.markClosed() {
		return
	}
	_ = s.server.Close()
	s.closeAll()
	s.done.Wait()
}

// closeAll also closes connections that the http.Server no longer knows.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.Conn.Close()
	}
}

// listener counts and bounds connections.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, server: l.server}
		if l.server.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.config.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	s.stats.Accepted++
	s.stats.MostConnections = max(s.stats.MostConnections, int64(len(s.conns)))
	return true
}

// conn can be made silent.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read drops everything that arrives on a silent connection and returns only
// when the connection ends.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		var ne net.Error
		if err != nil && (!errors.As(err, &ne) || !ne.Timeout()) {
			c.forget() // the peer closed it
			_ = c.Conn.Close()
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write drops what is written to a silent connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close leaves a silent connection open towards the peer.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.forget()
	return c.Conn.Close()
}

func (c *conn) forget() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
}

// reset closes with a TCP reset, as the system does for a process that crashed
// with unread input.
func (c *conn) reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}
