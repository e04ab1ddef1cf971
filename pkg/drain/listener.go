package drain

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/limit"
)

// listener keeps the connections that it has accepted.
type listener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	changed  chan struct{} // has a buffer of one; receives when a connection is removed

	counted       int           // accepted connections whose goroutine has not ended
	maxConns      int           // 0: no limit
	memory        *limit.Total  // nil: no limit
	connBytes     int64         // that each connection takes from memory
	room          chan struct{} // has a buffer of one; receives when there may be room
	closed        chan struct{}
	closeOnce     sync.Once
	closedForRoom atomic.Uint64
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: map[*conn]struct{}{}, changed: make(chan struct{}, 1), room: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := l.waitForRoom(); err != nil {
		_ = accepted.Close()
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l, idleSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.counted++
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *listener) signalRoom() {
	select {
	case l.room <- struct{}{}:
	default:
	}
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// ended makes the room of one connection free.
func (l *listener) ended() {
	l.mu.Lock()
	l.counted--
	l.mu.Unlock()
	l.memory.Release(l.connBytes)
	l.signalRoom()
}

func (l *listener) countedConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counted
}

func (l *listener) startDraining() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

func (l *listener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// open returns the open connections.
func (l *listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}
