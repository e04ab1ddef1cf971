package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

// backend holds the connections to one backend server.
type backend struct {
	pool    *Pool
	address string

	mu           sync.Mutex
	idle         []*conn // in the order of their last use, the oldest first
	active       map[*conn]struct{}
	openCount    int // idle, active and being established
	sequence     uint64
	waiters      []chan *conn // in order of arrival; each has a buffer of one
	noReuseUntil time.Time
	closed       bool
}

// acquireFor returns a connection for the exchange of a request. b.mu must be held;
// acquireFor unlocks it. Connections that have served an exchange with the ID that the
// request carries are closed.
func (b *backend) acquireFor(ctx context.Context, s *dynamic.Service, r *Request, names *fieldNames) (*conn, error) {
	id := ""
	if !names.internalExchange && !r.Probe {
		id = r.Header.Get(names.exchange)
	}
	for {
		c, err := b.acquire(ctx, s, r)
		if err != nil || !c.hasServed(id) {
			return c, err
		}
		b.drop(c, false)
		b.mu.Lock()
	}
}

// acquire returns a connection for one exchange. b.mu must be held; acquire
// unlocks it.
func (b *backend) acquire(ctx context.Context, s *dynamic.Service, r *Request) (*conn, error) {
	// The permit of a dropped connection is kept, so that the sweep does not
	// remove the backend in the meantime.
	hasPermit := false
	for !r.NewConnection {
		c := b.takeIdle(r.Idempotent, hasPermit || b.openCount < s.ConnectionsPerInstance(), s)
		if c == nil {
			break
		}
		b.mu.Unlock()
		if c.isReusable() {
			if hasPermit {
				b.returnUnused(nil)
			}
			return c, nil
		}
		unsolicited := c.hasUnreadInput()
		_ = c.Conn.Close()
		b.mu.Lock()
		delete(b.active, c)
		b.suspendReuse(unsolicited)
		if hasPermit {
			b.releasePermit()
		}
		hasPermit = true
	}
	if hasPermit {
		b.mu.Unlock()
		return b.connect(ctx, s)
	}
	if b.closed {
		b.mu.Unlock()
		return nil, ErrClosed
	}
	if b.openCount >= s.ConnectionsPerInstance() && len(b.idle) > 0 {
		// All idle connections have been idle too long for this request.
		oldest := b.idle[0]
		b.idle = slices.Delete(b.idle, 0, 1)
		b.openCount--
		_ = oldest.Conn.Close()
	}
	if b.openCount < s.ConnectionsPerInstance() {
		b.openCount++
		b.mu.Unlock()
		return b.connect(ctx, s)
	}
	w := make(chan *conn, 1)
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	return b.waitForConn(ctx, s, w)
}

// takeIdle moves the most recently used idle connection that has been idle for
// at least reuseDelay to the active ones and returns it. If no new connection
// can be made, it takes the one that has been idle longest. Where responses are
// signed, reuseDelay does not apply, because a second response is detected. It
// returns nil if no idle connection is suitable. b.mu must be held.
func (b *backend) takeIdle(idempotent, canConnect bool, s *dynamic.Service) *conn {
	now := time.Now()
	chosen := -1
	delayReuse := s.Headers.Signature == ""
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		age := now.Sub(c.idleAt)
		if !idempotent && age >= maxIdleNonIdempotent {
			break
		}
		if c.backendIdleTimeout > 0 && age >= c.backendIdleTimeout-backendIdleMargin {
			continue
		}
		chosen = i
		if !delayReuse || age >= reuseDelay {
			break
		}
		if canConnect {
			chosen = -1
		}
	}
	if chosen < 0 {
		return nil
	}
	c := b.idle[chosen]
	b.idle = slices.Delete(b.idle, chosen, chosen+1)
	b.active[c] = struct{}{}
	return c
}

// waitForConn waits until another exchange hands over its connection or its
// permit to make one, for at most dialMs.
func (b *backend) waitForConn(ctx context.Context, s *dynamic.Service, w chan *conn) (*conn, error) {
	timer := time.NewTimer(dynamic.MillisToDuration(s.Connections.DialMS))
	defer timer.Stop()
	var err error
	select {
	case c, ok := <-w:
		return b.acceptHandoff(ctx, s, c, ok)
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = ErrConnectionLimit
	}
	b.mu.Lock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		b.mu.Unlock()
		return nil, err
	}
	b.mu.Unlock()
	if c, ok := <-w; ok {
		b.returnUnused(c)
	}
	return nil, err
}

// acceptHandoff uses what a waiter received: a connection, a permit to connect
// (nil), or nothing because the pool was closed.
func (b *backend) acceptHandoff(ctx context.Context, s *dynamic.Service, c *conn, ok bool) (*conn, error) {
	if !ok {
		return nil, ErrClosed
	}
	if c == nil {
		return b.connect(ctx, s)
	}
	if c.isReusable() {
		return c, nil
	}
	unsolicited := c.hasUnreadInput()
	b.mu.Lock()
	delete(b.active, c)
	b.suspendReuse(unsolicited)
	b.mu.Unlock()
	_ = c.Conn.Close()
	return b.connect(ctx, s)
}

// returnUnused gives back a connection or a permit (nil) that is not needed.
func (b *backend) returnUnused(c *conn) {
	if c != nil {
		b.release(c, true)
		return
	}
	b.mu.Lock()
	b.releasePermit()
	b.mu.Unlock()
}

// connect makes a connection. The caller holds a permit, that is, the connection
// is already included in openCount.
func (b *backend) connect(ctx context.Context, s *dynamic.Service) (*conn, error) {
	dialContext, cancel := context.WithTimeout(ctx, dynamic.MillisToDuration(s.Connections.DialMS))
	nc, err := b.pool.dial(dialContext, b.address)
	cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.releasePermit()
		return nil, errors.Wrap(err, "connect")
	}
	b.sequence++
	c := newConn(b, nc, b.sequence)
	b.active[c] = struct{}{}
	return c, nil
}

// releasePermit passes the permit for a connection to the first waiter, or gives
// it up if there is none. b.mu must be held.
func (b *backend) releasePermit() {
	if len(b.waiters) > 0 && !b.closed {
		b.popWaiter() <- nil
		return
	}
	b.openCount--
}

func (b *backend) popWaiter() chan *conn {
	w := b.waiters[0]
	b.waiters = slices.Delete(b.waiters, 0, 1)
	return w
}

// suspendReuse closes the idle connections and stops reuse for
// unsolicitedReuseHold if unsolicited bytes arrived. Where responses are signed,
// closing the one connection is enough, because a late response is detected.
// b.mu must be held.
func (b *backend) suspendReuse(unsolicited bool) {
	if !unsolicited {
		return
	}
	if b.pool.settings().Headers.Signature != "" {
		b.pool.recorder.Record(eventExtraBytes, events.F("address", b.address))
		return
	}
	b.noReuseUntil = time.Now().Add(unsolicitedReuseHold)
	for _, c := range b.idle {
		_ = c.Conn.Close()
	}
	b.openCount -= len(b.idle)
	b.idle = nil
	b.pool.recorder.Record(eventUnsolicitedBytes, events.F("address", b.address),
		events.F("hold_ms", unsolicitedReuseHold.Milliseconds()))
}

// drop closes a connection after an exchange and releases its permit.
func (b *backend) drop(c *conn, unsolicited bool) {
	_ = c.Conn.Close()
	b.mu.Lock()
	delete(b.active, c)
	b.suspendReuse(unsolicited)
	b.releasePermit()
	b.mu.Unlock()
}

// release ends an exchange whose response was read completely. A reusable
// connection goes to the first waiter or becomes idle; any other is closed.
func (b *backend) release(c *conn, reusable bool) {
	s := b.pool.settings()
	now := time.Now()
	b.mu.Lock()
	for other := range b.active {
		if other.sequence < c.sequence && other.awaitingResponseSince.Load() != 0 {
			other.newerConnSucceeded.Store(true)
		}
	}
	if !reusable || b.closed || b.openCount > s.ConnectionsPerInstance() ||
		now.Before(b.noReuseUntil) || c.rawConn == nil || c.silenceDetected.Load() {
		b.mu.Unlock()
		b.drop(c, false)
		return
	}
	if len(b.waiters) > 0 {
		b.popWaiter() <- c
		b.mu.Unlock()
		return
	}
	c.idleAt = now
	delete(b.active, c)
	b.idle = append(b.idle, c)
	b.mu.Unlock()
}

// sweep closes connections that were idle for idleMs. A connection that was
// silent for silentMs is not reused any more, and is closed if its request is
// idempotent. sweep reports whether the backend can be removed.
func (b *backend) sweep(now time.Time, s *dynamic.Service) (empty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(b.idle) && now.Sub(b.idle[n].idleAt) >= dynamic.MillisToDuration(s.Connections.IdleMS) {
		_ = b.idle[n].Conn.Close()
		n++
	}
	b.idle = slices.Delete(b.idle, 0, n)
	b.openCount -= n
	for c := range b.active {
		since := c.awaitingResponseSince.Load()
		if since == 0 || !c.newerConnSucceeded.Load() || now.UnixNano()-since < int64(dynamic.MillisToDuration(s.Connections.SilentMS)) {
			continue
		}
		if c.silenceDetected.CompareAndSwap(false, true) {
			if c.closeOnSilence {
				c.closedForSilence.Store(true)
				_ = c.Conn.Close()
			}
			b.pool.recorder.Record(eventSilentConnection, events.F("address", b.address),
				events.F("silent_ms", (now.UnixNano()-since)/int64(time.Millisecond)))
		}
	}
	return b.openCount == 0 && len(b.waiters) == 0 && now.After(b.noReuseUntil)
}

func (b *backend) closeIdle() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.idle)
	for _, c := range b.idle {
		_ = c.Conn.Close()
	}
	b.idle = nil
	b.openCount -= n
	return n
}

func (b *backend) close() {
	b.closeIdle()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, w := range b.waiters {
		close(w)
	}
	b.waiters = nil
}
