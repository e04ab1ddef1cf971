package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/standin/loopback"
)

const (
	defaultRefuseTime = time.Second
	relistenInterval  = 10 * time.Millisecond
	headerReadTimeout = 5 * time.Second
	maxTrackedOrders  = 1 << 20 // order IDs with a run count; further ones count only in Stats.Orders
)

// Server is a stand-in for one backend server. It is safe for concurrent use.
type Server struct {
	config       Config
	serviceTimes *Distribution
	slots        slots
	started      time.Time
	address      string

	faults  atomic.Pointer[Faults]
	latency atomic.Int64 // moving average in nanoseconds; 0 before the first request

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	server   *http.Server
	conns    map[*conn]struct{}
	runs     map[string]int // by order ID
	stats    Stats
	closed   bool
	closing  chan struct{} // closed by markClosed
	done     sync.WaitGroup
}

// Start listens on the loopback address of c and serves until Close or Shutdown.
// It returns an error if the address or the service time is invalid or if it
// cannot listen.
func Start(c Config) (*Server, error) {
	c.setDefaults()
	d, err := ParseDistribution(c.ServiceTime, c.Seed)
	if err != nil {
		return nil, err
	}
	l, err := loopback.Listen(c.Listen)
	if err != nil {
		return nil, err
	}
	setDefault(&c.Name, l.Addr().String())
	s := &Server{
		config: c, serviceTimes: d, started: time.Now(), address: l.Addr().String(),
		slots: slots{capacity: c.Slots, maxQueue: c.Queue},
		conns: map[*conn]struct{}{}, runs: map[string]int{}, closing: make(chan struct{}), listener: l,
	}
	s.faults.Store(&Faults{})
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerReadTimeout}
	s.done.Add(1)
	go s.serveUntilClosed(l)
	return s, nil
}

// Address returns the service address as IP:port.
func (s *Server) Address() string { return s.address }

// Name returns the configured name, by default the address.
func (s *Server) Name() string { return s.config.Name }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Faults returns the injected faults.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// Runs returns how often each order started to run, by order ID.
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

func (s *Server) updateStats(f func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.stats)
}

// Silence makes every open connection permanently silent: it stays open, input is
// discarded and nothing is sent. New connections are not affected.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// Crash closes all connections with a reset and refuses new ones for
// Faults.RefuseMS.
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

// serveUntilClosed serves on l, and listens again after each crash.
func (s *Server) serveUntilClosed(l net.Listener) {
	defer s.done.Done()
	for l != nil {
		_ = s.server.Serve(&limitListener{Listener: l, server: s})
		l = s.relisten()
	}
}

// relisten waits for the end of the refusal time and listens again on the same
// address, which it retries until it succeeds. It returns nil after Close or
// Shutdown.
func (s *Server) relisten() net.Listener {
	delay := time.Duration(s.Faults().RefuseMS) * time.Millisecond
	if delay <= 0 {
		delay = defaultRefuseTime
	}
	for {
		select {
		case <-s.closing:
			return nil
		case <-time.After(delay):
		}
		if l, err := loopback.Listen(s.address); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				_ = l.Close()
				return nil
			}
			s.listener = l
			return l
		}
		delay = relistenInterval
	}
}

// markClosed marks the server as closed and reports whether it was open before.
func (s *Server) markClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.closed = true
	close(s.closing)
	return true
}

// Shutdown closes the listener, waits for requests in flight until ctx ends and
// closes all connections. It returns the error of ctx if requests were cut off.
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

// closeAll closes the listener and all connections, including hijacked ones, which
// the http.Server does not track, and silent ones, which it cannot close.
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

// limitListener tracks accepted connections and closes those above
// Config.MaxConnections.
type limitListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, server: l.server}
		if l.server.track(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

// track adds c to the open connections. It returns false if c must be closed,
// because the server is closed or has too many connections.
func (s *Server) track(c *conn) bool {
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

// conn is a tracked connection that can be made silent.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read reads from the connection. While the connection is silent, it discards
// input and returns only on an error.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		var netErr net.Error
		if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
			c.untrack() // the peer has closed the connection
			_ = c.Conn.Close()
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write writes to the connection, or discards p if the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, unless it is silent: the peer then sees it as open.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.untrack()
	return c.Conn.Close()
}

// untrack removes c from the open connections.
func (c *conn) untrack() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.conns, c)
}

// reset closes the connection with a TCP reset, as the kernel does for a process
// that crashes with unread input.
func (c *conn) reset() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}
