package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// framingConn looks at the header of each request as it arrives. net/http
// accepts a request with both Content-Length and Transfer-Encoding and drops
// the former before a handler runs, but such a request may be an attempt to
// smuggle another one (RFC 9112, section 6.1), so it has to be refused.
//
// It sees the first request after the connection was idle. A request that was
// sent before the response to its predecessor is not inspected; its body is
// framed anew for the backend server like any other.
type framingConn struct {
	net.Conn
	max int

	mu       sync.Mutex
	head     []byte
	complete bool
	conflict bool
}

type framingKey struct{}

var headerEnd = []byte("\r\n\r\n")

// Read implements net.Conn.
func (c *framingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.inspect(p[:n])
	}
	return n, err
}

func (c *framingConn) inspect(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete {
		return
	}
	c.head = append(c.head, p...)
	end := bytes.Index(c.head, headerEnd)
	if end < 0 && len(c.head) <= c.max {
		return
	}
	c.complete = true
	if end >= 0 {
		head := bytes.ToLower(c.head[:end])
		c.conflict = bytes.Contains(head, []byte("\ncontent-length")) && bytes.Contains(head, []byte("\ntransfer-encoding"))
	}
	c.head = c.head[:0]
}

func (c *framingConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.complete, c.conflict = c.head[:0], false, false
}

func (c *framingConn) isConflicting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conflict
}

// framingListener hands out connections that inspect framing.
type framingListener struct {
	net.Listener
	max int
}

// Accept implements net.Listener.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: conn, max: l.max}, nil
}

// inspectFraming connects the inspection with the server's life cycle.
func inspectFraming(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, framingKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*framingConn); ok && state == http.StateIdle {
			c.next()
		}
	}
}

// hasConflictingLengths reports whether the request states its length twice.
func hasConflictingLengths(r *http.Request) bool {
	c, ok := r.Context().Value(framingKey{}).(*framingConn)
	return ok && c.isConflicting()
}
