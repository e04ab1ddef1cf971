package drain

import (
	"net"
	"sync"
	"time"
)

// conn is a connection that is closed either before or after a request, but not in it.
type conn struct {
	net.Conn
	listener *listener

	mu        sync.Mutex
	idleSince time.Time
	isBusy    bool // bytes have arrived since idleSince
	busySince time.Time
	isActive  bool // the head of a request is complete, and the request has not ended
	isClosed  bool
}

// Read implements net.Conn. It returns no bytes after the connection was closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	if n > 0 && !c.isBusy {
		c.isBusy, c.busySince = true, time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	c.listener.remove(c)
	return c.Conn.Close()
}

// setIdle records that a request has ended and no other one has begun.
func (c *conn) setIdle(now time.Time) {
	if inner, ok := c.Conn.(interface{ RequestEnded() }); ok {
		inner.RequestEnded()
	}
	c.mu.Lock()
	c.idleSince, c.isBusy, c.isActive = now, false, false
	c.mu.Unlock()
	c.listener.signalRoom()
}

// setActive records that the head of a request is complete.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isActive = true
}

// closeIfIdle closes the connection if it has been idle for idleWait.
func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	isIdle := !c.isClosed && !c.isBusy && now.Sub(c.idleSince) >= idleWait
	c.isClosed = c.isClosed || isIdle
	c.mu.Unlock()
	if isIdle {
		_ = c.Close()
	}
}
