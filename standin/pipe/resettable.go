package pipe

import (
	"io"
	"net"
	"sync"
	"syscall"
)

// resettable is the client's end of a connection that the server can reset. As over TCP, a
// reset is reported once: to the next write, after which reads return what has arrived and
// then the end of the stream, or to the first read behind what has arrived.
type resettable struct {
	net.Conn

	mu         sync.Mutex
	isReset    bool
	isReported bool
	arrived    []byte // before the reset
}

// reset resets the connection after the given bytes have arrived at the client, which must
// not wait for others. The server must close its end afterwards.
func (c *resettable) reset(arrived []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReset, c.arrived = true, arrived
}

// Write implements net.Conn.
func (c *resettable) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.isReset {
		c.isReported = true
		err = &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Read implements net.Conn.
func (c *resettable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil || !c.isReset:
		return n, err
	case len(c.arrived) > 0:
		n = copy(p, c.arrived)
		c.arrived = c.arrived[n:]
		return n, nil
	case c.isReported:
		return 0, io.EOF
	}
	c.isReported = true
	return 0, &net.OpError{Op: "read", Err: syscall.ECONNRESET}
}
