package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

const (
	// maxIdleNonIdempotent is the idle time from which a connection is no longer
	// used for a non-idempotent request. Backend servers commonly close idle
	// connections after seconds, and a request sent while the backend server
	// closes the connection has an unknown outcome.
	maxIdleNonIdempotent = time.Second

	// reuseDelay is the minimum idle time before a connection is reused while a
	// new connection can be made. A backend server that responds twice mostly does
	// so at once; the poll before reuse then detects the second response, which
	// would otherwise be read as the response to the next request.
	reuseDelay = time.Millisecond

	// backendIdleMargin is subtracted from the idle timeout that the backend
	// server states. A connection that was idle for longer is not reused, so that
	// no request is sent while the backend server closes the connection.
	backendIdleMargin = time.Second

	// unsolicitedReuseHold is how long connections to a backend server are not
	// reused after it sent bytes that belong to no request.
	unsolicitedReuseHold = time.Minute

	// sweepsPerPeriod limits how late an idle or silent connection is closed: by
	// at most a quarter of the shorter of idleMs and silentMs, or by
	// minSweepInterval if that is longer.
	sweepsPerPeriod  = 4
	minSweepInterval = 10 * time.Millisecond
)

// Options configures a Pool.
type Options struct {
	Settings func() *dynamic.Service // returns the settings in force; called at least once per exchange
	Recorder events.Recorder         // default: events.Discard

	// Dial makes a connection; the default is a net.Dialer over TCP. A
	// connection that does not implement syscall.Conn cannot be polled and is
	// never reused.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds the connections to all backend servers of one service.
type Pool struct {
	settings func() *dynamic.Service
	recorder events.Recorder
	dial     func(ctx context.Context, address string) (net.Conn, error)
	names    atomic.Pointer[fieldNames]

	exchangeIDPrefix string // random, so that exchange IDs of different pools differ
	exchangeCount    atomic.Uint64

	mu         sync.Mutex
	backends   map[string]*backend
	sweepTimer *time.Timer // nil while there are no connections
	closed     bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{
		settings: o.Settings, recorder: o.Recorder, dial: o.Dial, backends: map[string]*backend{},
		exchangeIDPrefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
	if p.recorder == nil {
		p.recorder = events.Discard{}
	}
	if p.dial == nil {
		// TCP keep-alive probes are not needed: silent connections are detected
		// by their exchanges, and idle ones are closed within seconds.
		d := &net.Dialer{KeepAlive: -1}
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return p
}

// nextExchangeID returns an ID that is unique across all pools.
func (p *Pool) nextExchangeID() string {
	return p.exchangeIDPrefix + strconv.FormatUint(p.exchangeCount.Add(1), 36)
}

func (p *Pool) fieldNames(s *dynamic.Service) *fieldNames {
	if n := p.names.Load(); n != nil && n.settings == s {
		return n
	}
	n := newFieldNames(s)
	p.names.Store(n)
	return n
}

// backend returns the backend at address, creating it if necessary, with its
// mutex locked. It returns ErrClosed if the pool is closed.
func (p *Pool) backend(address string, s *dynamic.Service) (*backend, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	b := p.backends[address]
	if b == nil {
		b = &backend{pool: p, address: address, active: map[*conn]struct{}{}}
		p.backends[address] = b
	}
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(sweepInterval(s), p.runSweep)
	}
	b.mu.Lock()
	return b, nil
}

func sweepInterval(s *dynamic.Service) time.Duration {
	return max(minSweepInterval, dynamic.MillisToDuration(min(s.Connections.IdleMS, s.Connections.SilentMS))/sweepsPerPeriod)
}

// runSweep closes idle and silent connections and removes backends that have no
// connections left.
func (p *Pool) runSweep() {
	s := p.settings()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, b := range p.backends {
		if b.sweep(now, s) {
			delete(p.backends, address)
		}
	}
	if len(p.backends) == 0 {
		p.sweepTimer = nil
		return
	}
	p.sweepTimer = time.AfterFunc(sweepInterval(s), p.runSweep)
}

// OpenConnections returns the number of connections to all backend servers,
// including idle ones and those being established.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.backends {
		b.mu.Lock()
		n += b.openCount
		b.mu.Unlock()
	}
	return n
}

// CloseIdle closes the idle connections to the backend server at address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	b := p.backends[address]
	p.mu.Unlock()
	if b != nil {
		b.closeIdle()
	}
}

// Close closes the idle connections and rejects new exchanges with ErrClosed.
// Exchanges in progress continue; their connections are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	all := p.backends
	p.backends = map[string]*backend{}
	p.mu.Unlock()
	for _, b := range all {
		b.close()
	}
}

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

// acquire returns a connection for one exchange. b.mu must be held; acquire
// unlocks it.
func (b *backend) acquire(ctx context.Context, s *dynamic.Service, idempotent bool) (*conn, error) {
	// The permit of a dropped connection is kept, so that the sweep does not
	// remove the backend in the meantime.
	hasPermit := false
	for {
		c := b.takeIdle(idempotent, hasPermit || b.openCount < s.ConnectionsPerInstance(), s)
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
