package drain

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// idleWait is how long a connection has been idle when Drain closes it. Callers mostly
	// send a request within a round trip of connecting, and peers close their connections
	// themselves after a shorter time, so that no request of theirs crosses the close.
	idleWait = time.Second
	// drainInterval is how often Drain looks for connections whose wait has ended.
	drainInterval = 20 * time.Millisecond
)

// Server is an HTTP server on one listener that can be drained.
type Server struct {
	http     *http.Server
	listener *listener
}

// NewServer returns a server that serves h on l. It replaces the hooks ConnState and
// ConnContext of h.
func NewServer(h *http.Server, l net.Listener) *Server {
	s := &Server{http: h, listener: newListener(l)}
	h.ConnState, h.ConnContext = observeState, connContext
	return s
}

func observeState(c net.Conn, state http.ConnState) {
	wrapped, ok := c.(*conn)
	switch {
	case !ok:
	case state == http.StateIdle:
		wrapped.setIdle(time.Now())
	case state == http.StateActive:
		wrapped.setActive()
	case state == http.StateClosed:
		wrapped.setEnded()
	}
}

// Serve accepts and serves connections until Drain or Close is called, and then returns
// nil. Otherwise the error is that of the listener.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && s.listener.isDraining() {
		return nil
	}
	return err
}

// Drain closes the listener, closes connections as they become idle and returns when
// none is left. When ctx ends, it closes those that are left and returns their number.
func (s *Server) Drain(ctx context.Context) (cut int) {
	s.listener.startDraining()
	_ = s.listener.Close() // the error says that it is closed already
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		for _, c := range s.listener.open() {
			c.closeIfIdle(now)
		}
		open := s.listener.open()
		if len(open) == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			s.Close()
			return len(open)
		case <-s.listener.changed:
		case <-ticker.C:
		}
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.listener.startDraining()
	_ = s.http.Close()
	_ = s.listener.Close()
	for _, c := range s.listener.open() {
		_ = c.Close()
	}
}
