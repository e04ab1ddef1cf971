package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// framingConn inspects the header of each request as it arrives. net/http
// accepts a request with both Content-Length and Transfer-Encoding and drops
// Content-Length before a handler runs. Such a request may be an attempt at
// request smuggling (RFC 9112, section 6.1) and must be refused.
//
// Only the first request after the connection was idle is inspected. A
// pipelined request, sent before the response to its predecessor, is not
// inspected; its body is framed anew for the backend server like any other.
type framingConn struct {
	net.Conn
	maxHeaderBytes int

	mu        sync.Mutex
	header    []byte
	inspected bool
	conflict  bool
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
	if c.inspected {
		return
	}
	c.header = append(c.header, p...)
	end := bytes.Index(c.header, headerEnd)
	if end < 0 && len(c.header) <= c.maxHeaderBytes {
		return
	}
	c.inspected = true
	if end >= 0 {
		header := bytes.ToLower(c.header[:end])
		c.conflict = bytes.Contains(header, []byte("\ncontent-length:")) && bytes.Contains(header, []byte("\ntransfer-encoding:"))
	}
	c.header = c.header[:0]
}

func (c *framingConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.header, c.inspected, c.conflict = c.header[:0], false, false
}

func (c *framingConn) hasConflict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conflict
}

// framingListener wraps accepted connections in framingConn.
type framingListener struct {
	net.Listener
	maxHeaderBytes int
}

// Accept implements net.Listener.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: conn, maxHeaderBytes: l.maxHeaderBytes}, nil
}

// installFramingInspection passes the framingConn to request contexts and
// resets the inspection whenever a connection becomes idle.
func installFramingInspection(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, framingKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*framingConn); ok && state == http.StateIdle {
			c.reset()
		}
	}
}

// hasConflictingLengths reports whether the request has both Content-Length and
// Transfer-Encoding.
func hasConflictingLengths(r *http.Request) bool {
	c, ok := r.Context().Value(framingKey{}).(*framingConn)
	return ok && c.hasConflict()
}
