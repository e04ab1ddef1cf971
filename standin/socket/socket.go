// Package socket provides connection endpoints for transport tests: a loopback
// server whose handlers write raw bytes, a relay that can stop forwarding without
// closing its connections, and pairs of connected sockets.
package socket

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Server accepts connections on loopback and runs its handler for each in a
// separate goroutine. Connections are numbered from 1. The server closes a
// connection when the handler returns.
type Server struct {
	net.Listener
	mu       sync.Mutex
	accepted int
	conns    []net.Conn
	handlers sync.WaitGroup
}

// Listen starts a server on a free loopback port.
func Listen(handle func(c net.Conn, number int)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Listener: l}
	s.handlers.Go(func() { s.accept(handle) })
	return s, nil
}

func (s *Server) accept(handle func(c net.Conn, number int)) {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.accepted++
		number := s.accepted
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.handlers.Go(func() {
			defer func() { _ = c.Close() }()
			handle(c, number)
		})
	}
}

// Stop closes the listener and all connections and waits for the handlers.
func (s *Server) Stop() {
	_ = s.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

// Address returns the address to connect to.
func (s *Server) Address() string { return s.Addr().String() }

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// droppedBuffer is the capacity of Relay.Dropped. It exceeds the number of drops
// that a test leaves unreceived, so that the relay does not block on the channel.
const droppedBuffer = 64

// Relay forwards bytes between loopback connections. Connections that are open
// when Silence is called stay open but forward nothing from then on.
type Relay struct {
	*Server
	Dropped    chan struct{} // receives one value for each read whose bytes were dropped
	generation atomic.Int64
}

// NewRelay starts a relay to the TCP address target.
func NewRelay(target string) (*Relay, error) {
	r := &Relay{Dropped: make(chan struct{}, droppedBuffer)}
	s, err := Listen(func(c net.Conn, _ int) { r.serve(c, target) })
	r.Server = s
	return r, err
}

// Silence makes the relay drop all bytes that arrive on the connections open now.
func (r *Relay) Silence() { r.generation.Add(1) }

func (r *Relay) serve(c net.Conn, target string) {
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	startGeneration := r.generation.Load()
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(upstream, c, startGeneration) })
	directions.Go(func() { r.forward(c, upstream, startGeneration) })
	directions.Wait()
}

// forward copies bytes until Silence starts a new generation, and drops them after
// that. It closes the destination at the end of the source.
func (r *Relay) forward(to, from net.Conn, startGeneration int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.generation.Load() == startGeneration {
			_, _ = to.Write(buffer[:n])
		} else {
			r.Dropped <- struct{}{}
		}
	}
}

// ServeRequests reads HTTP requests from a connection and calls handle with each
// one, until handle returns false or no complete request can be read.
func ServeRequests(c net.Conn, handle func(r *http.Request, body []byte) bool) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !handle(r, body) {
			return
		}
	}
}

// Reset closes a connection, with a reset if it is a TCP connection.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Pair returns two connected Unix domain sockets. Unlike over TCP, bytes that one
// side has written are readable on the other side at once, so that a test can
// place bytes before an exchange starts.
func Pair() (a, b net.Conn, err error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "socketpair")
		ends[i], err = net.FileConn(f)
		_ = f.Close()
		if err != nil {
			return nil, nil, err
		}
	}
	return ends[0], ends[1], nil
}
