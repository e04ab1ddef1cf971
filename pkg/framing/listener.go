package framing

import (
	"net"
	"net/http"
	"sync"
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

const (
	// smallHeadBytes is the size up to which an unfinished head is part of the cost of its
	// connection and takes nothing from the memory for heads.
	smallHeadBytes = 4 << 10
	// smallKeptBytes is the same for a complete head: one of 4 KiB with 50 fields.
	smallKeptBytes = 16 << 10
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

// NewListener returns a listener whose connections pass on only requests of certain
// framing. maxHeadBytes bounds a head and the trailers of a request; heads bounds what the
// heads of all connections need together. The connection whose head is unfinished for
// longest is closed if others need its memory.
func NewListener(l net.Listener, maxHeadBytes int, heads *limit.Budget) net.Listener {
	return listener{l, maxHeadBytes, heads, time.Now()}
}

type listener struct {
	net.Listener
	maxHeadBytes int
	heads        *limit.Budget
	start        time.Time
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	memory := &headMemory{listener: l}
	out := &conn{Conn: c, memory: memory, reader: newReader(l.maxHeadBytes, memory)}
	memory.close = out.giveWay
	return out, nil
}

// conn is a connection of a caller. net/http calls Read from one goroutine at a time.
type conn struct {
	net.Conn
	memory *headMemory

	mu     sync.Mutex // guards reader, but for its field out
	reader reader
}

// giveWay closes the connection and gives up the memory of its head at once: the goroutine
// that reads may see the close much later. If that goroutine uses the memory just now, it
// gives it up itself, because its next request for memory is refused.
func (c *conn) giveWay() {
	_ = c.Conn.Close() // the goroutine that reads sees the error
	if c.mu.TryLock() {
		c.reader.drop()
		c.mu.Unlock()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.reader.out) == 0 && len(p) > 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		// An error is returned again by the next read of the connection.
		c.mu.Lock()
		c.reader.feed(p[:n])
		c.mu.Unlock()
	}
	n := copy(p, c.reader.out)
	c.reader.out = c.reader.out[n:]
	if len(c.reader.out) == 0 {
		c.reader.out = nil // connections are idle for most of their time
	}
	return n, nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.memory.release()
	return c.Conn.Close()
}

// RequestEnded states that the response to the last request was sent.
func (c *conn) RequestEnded() { c.memory.requestEnded() }

// headMemory is what the heads of one connection take from the memory for heads.
type headMemory struct {
	listener listener
	close    func()

	mu         sync.Mutex
	holder     *limit.Holder // nil: nothing was ever taken
	unfinished int64
	kept       int64
	isReleased bool
}

// hold implements memory.
func (m *headMemory) hold(bytes int) bool {
	if bytes <= smallHeadBytes {
		bytes = 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if int64(bytes) == m.unfinished {
		return true
	}
	return m.set(int64(bytes), m.kept)
}

// keep implements memory.
func (m *headMemory) keep(bytes int) bool {
	if bytes <= smallKeptBytes {
		bytes = 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if int64(bytes) == m.kept && m.unfinished == 0 {
		return true
	}
	if m.holder != nil {
		m.holder.Go()
	}
	return m.set(0, int64(bytes))
}

func (m *headMemory) requestEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept > 0 {
		m.set(m.unfinished, 0)
	}
}

func (m *headMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isReleased = true
	if m.holder != nil {
		m.holder.Release()
	}
}

// set must be called with the lock held.
func (m *headMemory) set(unfinished, kept int64) bool {
	if m.isReleased {
		return true
	}
	if m.holder == nil {
		m.holder = m.listener.heads.NewHolder(m.close)
	}
	now := time.Since(m.listener.start)
	if unfinished > 0 {
		m.holder.Wait(now)
	}
	if !m.holder.Hold(now, unfinished+kept) {
		return false
	}
	m.unfinished, m.kept = unfinished, kept
	return true
}
