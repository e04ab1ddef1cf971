package framing

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/limit"
)

// ErrorField is the header field that marks a request whose framing is not certain, or
// whose head is over a limit. Its value says why. Callers cannot send it: the field is
// removed from their requests.
const ErrorField = "Lentilpin-Framing-Error"

// Reasons of heads that are over a limit. Their fields are not passed on.
const (
	TooLarge = "the head is too large"
	NoMemory = "the heads of other requests hold the memory for heads"
)

// Error returns why a request is refused, and removes the mark. It returns false for sound
// requests. A request with an error has no body; the handler must close the connection
// after its response.
func Error(r *http.Request) (reason string, isRefused bool) {
	values, isRefused := r.Header[ErrorField]
	if !isRefused {
		return "", false
	}
	delete(r.Header, ErrorField)
	return values[0], true
}

// IsOverLimit reports whether the head of a request is over a limit, and why.
func IsOverLimit(r *http.Request) (reason string, isOver bool) {
	if values := r.Header[ErrorField]; len(values) > 0 {
		reason = values[0]
	}
	return reason, reason == TooLarge || reason == NoMemory
}

// Limits are the limits of heads on the connections of a Listener.
type Limits struct {
	MaxHeadBytes func() int    // of a head, and of the trailers of a request; may change at any time
	Heads        *limit.Budget // what the heads of all connections need together
}

// NewListener returns a listener whose connections pass on only requests of certain framing
// within the limits. The connection whose head is unfinished for longest, or that has been
// idle longest with a long request line, is closed if others need its memory.
func NewListener(l net.Listener, limits Limits) net.Listener {
	return listener{l, limits, time.Now()}
}

type listener struct {
	net.Listener
	limits Limits
	start  time.Time
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	memory := &headMemory{listener: l}
	out := &conn{Conn: c, memory: memory, reader: newReader(l.limits.MaxHeadBytes, memory)}
	memory.giveWay = out.giveWay
	return out, nil
}

// maxReadBytes bounds what is read at once, and with it the bytes in new framing.
const maxReadBytes = 32 << 10

// conn is a connection of a caller. net/http calls Read from one goroutine at a time.
type conn struct {
	net.Conn
	memory    *headMemory
	isLeaving atomic.Bool // it gives way to others

	mu     sync.Mutex // guards reader, but for its field out
	reader reader
}

// giveWay closes the connection and gives up the memory of its head.
func (c *conn) giveWay() {
	c.isLeaving.Store(true)
	_ = c.Conn.Close() // the goroutine that reads sees the error
	c.dropHead()
}

// dropHead gives up the memory of an unfinished head, unless the goroutine that reads uses
// it just now; that goroutine then gives it up.
func (c *conn) dropHead() {
	if c.mu.TryLock() {
		c.reader.drop()
		c.memory.dropUnfinished()
		c.mu.Unlock()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	p = p[:min(len(p), maxReadBytes)]
	for len(c.reader.out) == 0 && len(p) > 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		// An error is returned again by the next read of the connection.
		c.mu.Lock()
		c.reader.feed(p[:n])
		c.mu.Unlock()
		if c.isLeaving.Load() {
			c.dropHead()
		}
	}
	n := copy(p, c.reader.out)
	c.reader.out = c.reader.out[n:]
	if len(c.reader.out) == 0 {
		c.reader.out = nil // connections are idle for most of their time
	}
	return n, nil
}

// CloseWrite ends the direction to the caller, if the connection can do that.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SetLinger sets what a close of the connection does (see net.TCPConn.SetLinger), if the
// connection can do that.
func (c *conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// RequestEnded states that the response to the last request was sent.
func (c *conn) RequestEnded() { c.memory.requestEnded() }

// Ended states that the connection is closed and that nothing refers to it any more.
func (c *conn) Ended() { c.memory.release() }
