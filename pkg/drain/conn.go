package drain

import (
	"net"
	"sync"
	"time"
)

// progressBytes is how much of a body must arrive to count as progress. A caller on a slow
// link sends it in a moment, one that sends single bytes to keep a connection does not.
const progressBytes = 4 << 10

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
	isEnded   bool // it does not count any more

	awaitsBody   bool // of the request, which has not begun to run
	bodySince    time.Time
	bodyBytes    int       // arrived since bodySince
	writingSince time.Time // zero: no write is in progress
	isHalfClosed bool      // the last response was sent, and the connection will be closed
	halfClosedAt time.Time
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
	if c.bodyBytes += n; c.awaitsBody && c.bodyBytes >= progressBytes {
		c.bodySince, c.bodyBytes = time.Now(), 0
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = since
}

// CloseWrite ends the direction to the caller. net/http calls it before it waits until the
// caller has read a last response.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	c.isHalfClosed, c.halfClosedAt = true, time.Now()
	c.mu.Unlock()
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	isHalfClosed := c.isHalfClosed
	c.mu.Unlock()
	c.listener.remove(c)
	if isHalfClosed {
		c.stopCounting() // only a timer of net/http is left
	}
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

// setEnded records that the connection is closed and its goroutine about to end.
func (c *conn) setEnded() {
	c.stopCounting()
	if inner, ok := c.Conn.(interface{ Ended() }); ok {
		inner.Ended()
	}
}

// stopCounting makes room for another connection.
func (c *conn) stopCounting() {
	c.mu.Lock()
	isFirst := !c.isEnded
	c.isEnded = true
	c.mu.Unlock()
	if isFirst {
		c.listener.ended()
	}
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
