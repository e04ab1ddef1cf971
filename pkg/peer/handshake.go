package peer

import (
	"container/list"
	"net"
	"sync"
	"time"

	"lentilpin/pkg/events"
)

const (
	// maxHandshakeBytes is what is read of a connection before its first call has shown the
	// secret. The metadata and the name of a call need far less than 1 KiB.
	maxHandshakeBytes = 16 << 10
	// eventPeriod and maxEventsPerPeriod bound the events that anybody who reaches the
	// listener can cause.
	eventPeriod        = 10 * time.Second
	maxEventsPerPeriod = 20
)

// handshakes holds the connections whose first call has not yet shown the secret, in the
// order in which they were accepted. It bounds what strangers hold on the listener: the
// oldest connection gives way to a new one.
type handshakes struct {
	options *Options

	mu   sync.Mutex
	open list.List // of *handshake
}

// handshake is the part of a connection before its first authorized call.
type handshake struct {
	list     *handshakes
	element  *list.Element
	end      func()
	proven   chan struct{} // closed by the first authorized call
	once     sync.Once
	deadline *time.Timer
	bytes    int // read so far; used by the goroutine that reads
}

// begin adds a connection that end closes.
func (l *handshakes) begin(end func()) *handshake {
	h := &handshake{list: l, end: end, proven: make(chan struct{})}
	l.mu.Lock()
	var oldest *handshake
	if l.open.Len() >= l.options.MaxHandshakes {
		oldest, _ = l.open.Front().Value.(*handshake)
	}
	h.element = l.open.PushBack(h)
	l.mu.Unlock()
	if oldest != nil {
		oldest.expire("too many")
	}
	h.deadline = time.AfterFunc(l.options.HandshakeTimeout, func() { h.expire("timeout") })
	return h
}

// remove reports whether the handshake was still open.
func (h *handshake) remove() bool {
	h.list.mu.Lock()
	defer h.list.mu.Unlock()
	isOpen := h.element != nil
	if isOpen {
		h.list.open.Remove(h.element)
		h.element = nil
	}
	return isOpen
}

// expire closes the connection unless the handshake has finished.
func (h *handshake) expire(reason string) {
	if h.remove() {
		h.list.options.HandshakesClosed.Inc(1)
		h.list.options.recordLimited(eventHandshakeLimit, events.F("reason", reason))
		h.end()
	}
}

// finish states that a call has shown the secret, or that the connection has ended.
func (h *handshake) finish() {
	h.remove()
	h.once.Do(func() { close(h.proven) })
	h.deadline.Stop()
}

// Read implements net.Conn. It waits for the first authorized call when too much was read
// before it.
func (c *connection) Read(p []byte) (int, error) {
	h := c.handshake
	select {
	case <-h.proven:
		return c.Conn.Read(p)
	default:
	}
	if h.bytes >= maxHandshakeBytes {
		select {
		case <-h.proven:
			return c.Conn.Read(p)
		case <-c.ctx.Done():
			return 0, net.ErrClosed
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), maxHandshakeBytes-h.bytes)])
	h.bytes += n
	return n, err
}

// eventLimiter drops events above maxEventsPerPeriod.
type eventLimiter struct {
	mu    sync.Mutex
	begun time.Time
	n     int
}

func (l *eventLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.begun) >= eventPeriod {
		l.begun, l.n = now, 0
	}
	l.n++
	return l.n <= maxEventsPerPeriod
}

// recordLimited records an event that strangers can cause.
func (o *Options) recordLimited(e *events.Event, fields ...events.Field) {
	if o.limiter.allow(time.Now()) {
		o.Recorder.Record(e, fields...)
	}
}
