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
	// freshIdle is the longest idle time after which a connection may carry a
	// request that must not run twice. Backend servers commonly close idle
	// connections after seconds, and a request that crosses such a close ends
	// as unknown.
	freshIdle = time.Second

	// restTime is how long a connection is left alone before it is reused
	// while another one can be made. A backend server that answers twice
	// mostly does so at once; the second response then meets the check before
	// reuse and not the next request.
	restTime = time.Millisecond

	// closeMargin is how long before the stated end of an idle connection it is
	// no longer used, so that a request does not cross the close on its way.
	closeMargin = time.Second

	// unsolicitedHold is how long connections to a backend server are not
	// reused after it sent bytes that belong to no request.
	unsolicitedHold = time.Minute

	// sweepsPerPeriod bounds how late an idle or silent connection is retired:
	// a quarter of the shorter of the two times.
	sweepsPerPeriod = 4
	minSweep        = 10 * time.Millisecond
)

// Options are the parts that a Pool is made of.
type Options struct {
	Settings func() *dynamic.Service // called once per exchange
	Recorder events.Recorder

	// Dial makes a connection; default net.Dialer over TCP. A connection that
	// does not offer a file descriptor to poll is never reused.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool holds the connections to all backend servers of one service.
type Pool struct {
	settings func() *dynamic.Service
	recorder events.Recorder
	dial     func(ctx context.Context, address string) (net.Conn, error)
	names    atomic.Pointer[fieldNames]

	prefix    string // random, so that exchanges of different pools differ
	exchanges atomic.Uint64

	mu       sync.Mutex
	backends map[string]*backend
	sweep    *time.Timer // nil while there are no connections
	closed   bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{
		settings: o.Settings, recorder: o.Recorder, dial: o.Dial, backends: map[string]*backend{},
		prefix: strconv.FormatUint(rand.Uint64(), 36) + "-",
	}
	if p.recorder == nil {
		p.recorder = events.Discard{}
	}
	if p.dial == nil {
		// Keep-alive probes are of no use: silent connections are found by
		// the exchanges on them, and idle ones are closed within seconds.
		d := &net.Dialer{KeepAlive: -1}
		p.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return p
}

// nextExchange returns a name that no other exchange of any pool has.
func (p *Pool) nextExchange() string {
	return p.prefix + strconv.FormatUint(p.exchanges.Add(1), 36)
}

func (p *Pool) fieldNames(s *dynamic.Service) *fieldNames {
	if n := p.names.Load(); n != nil && n.settings == s {
		return n
	}
	n := newFieldNames(s)
	p.names.Store(n)
	return n
}

// backend returns the state of a backend server with its lock held.
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
	if p.sweep == nil {
		p.sweep = time.AfterFunc(sweepPeriod(s), p.runSweep)
	}
	b.mu.Lock()
	return b, nil
}

func sweepPeriod(s *dynamic.Service) time.Duration {
	return max(minSweep, dynamic.MS(min(s.Connections.IdleMS, s.Connections.SilentMS))/sweepsPerPeriod)
}

// runSweep retires idle and silent connections and forgets backend servers
// without connections.
func (p *Pool) runSweep() {
	s := p.settings()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, b := range p.backends {
		if b.retire(now, s) {
			delete(p.backends, address)
		}
	}
	if len(p.backends) == 0 {
		p.sweep = nil
		return
	}
	p.sweep = time.AfterFunc(sweepPeriod(s), p.runSweep)
}

// Open returns the number of connections, idle ones included.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.backends {
		b.mu.Lock()
		n += b.open
		b.mu.Unlock()
	}
	return n
}

// Retire closes the idle connections to a backend server.
func (p *Pool) Retire(address string) {
	p.mu.Lock()
	b := p.backends[address]
	p.mu.Unlock()
	if b != nil {
		b.closeIdle()
	}
}

// Close closes idle connections and refuses new exchanges. Exchanges in
// progress continue; their connections are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	if p.sweep != nil {
		p.sweep.Stop()
	}
	all := p.backends
	p.backends = map[string]*backend{}
	p.mu.Unlock()
	for _, b := range all {
		b.close()
	}
}

// backend is the connections to one backend server.
type backend struct {
	pool    *Pool
	address string

	mu          sync.Mutex
	idle        []*conn // the last one was used most recently
	active      map[*conn]struct{}
	open        int // idle, active and being established
	sequence    uint64
	waiters     []chan *conn // in order of arrival; each has room for one
	noReuseTill time.Time
	closed      bool
}

// acquire returns a connection for one exchange.
func (b *backend) acquire(ctx context.Context, s *dynamic.Service, idempotent bool) (*conn, error) {
	// b.mu is held on entry. A place freed by a dropped connection is kept, so
	// that the sweep does not forget the backend server meanwhile.
	place := false
	for {
		c := b.takeIdle(idempotent, place || b.open < s.PerInstance(), s)
		if c == nil {
			break
		}
		b.mu.Unlock()
		if c.quiet() {
			if place {
				b.unused(nil)
			}
			return c, nil
		}
		unsolicited := c.hasInput()
		_ = c.Conn.Close()
		b.mu.Lock()
		delete(b.active, c)
		b.holdReuse(unsolicited)
		if place {
			b.freePlace()
		}
		place = true
	}
	if place {
		b.mu.Unlock()
		return b.connect(ctx, s)
	}
	if b.closed {
		b.mu.Unlock()
		return nil, ErrClosed
	}
	if b.open >= s.PerInstance() && len(b.idle) > 0 {
		// Every idle connection is too old for this request.
		oldest := b.idle[0]
		b.idle = slices.Delete(b.idle, 0, 1)
		b.open--
		_ = oldest.Conn.Close()
	}
	if b.open < s.PerInstance() {
		b.open++
		b.mu.Unlock()
		return b.connect(ctx, s)
	}
	w := make(chan *conn, 1)
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	return b.wait(ctx, s, w)
}

// takeIdle makes the most recently used idle connection that has rested active
// and returns it. If no other connection can be made, the one that has rested
// longest will do. Where responses are signed, none needs to rest, because a
// second response is recognised. b.mu is held.
func (b *backend) takeIdle(idempotent, canConnect bool, s *dynamic.Service) *conn {
	now := time.Now()
	longest := -1
	rests := s.Headers.Signature == ""
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		age := now.Sub(c.idleAt)
		if !idempotent && age >= freshIdle {
			break
		}
		if c.maxIdle > 0 && age >= c.maxIdle-closeMargin {
			continue
		}
		longest = i
		if !rests || age >= restTime {
			break
		}
		if canConnect {
			longest = -1
		}
	}
	if longest < 0 {
		return nil
	}
	c := b.idle[longest]
	b.idle = slices.Delete(b.idle, longest, longest+1)
	b.active[c] = struct{}{}
	return c
}

// wait waits for a connection that another exchange gives back, or for its
// place, no longer than establishing one may take.
func (b *backend) wait(ctx context.Context, s *dynamic.Service, w chan *conn) (*conn, error) {
	timer := time.NewTimer(dynamic.MS(s.Connections.DialMS))
	defer timer.Stop()
	var err error
	select {
	case c, ok := <-w:
		return b.handed(ctx, s, c, ok)
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
		b.unused(c)
	}
	return nil, err
}

// handed takes what a waiter was given: a connection, a place to connect (nil),
// or nothing because the pool was closed.
func (b *backend) handed(ctx context.Context, s *dynamic.Service, c *conn, ok bool) (*conn, error) {
	if !ok {
		return nil, ErrClosed
	}
	if c == nil {
		return b.connect(ctx, s)
	}
	if c.quiet() {
		return c, nil
	}
	unsolicited := c.hasInput()
	b.mu.Lock()
	delete(b.active, c)
	b.holdReuse(unsolicited)
	b.mu.Unlock()
	_ = c.Conn.Close()
	return b.connect(ctx, s)
}

// unused gives back what a waiter received but did not use.
func (b *backend) unused(c *conn) {
	if c != nil {
		b.release(c, true)
		return
	}
	b.mu.Lock()
	b.freePlace()
	b.mu.Unlock()
}

// connect makes a connection in a place that is already counted.
func (b *backend) connect(ctx context.Context, s *dynamic.Service) (*conn, error) {
	dialContext, cancel := context.WithTimeout(ctx, dynamic.MS(s.Connections.DialMS))
	nc, err := b.pool.dial(dialContext, b.address)
	cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.freePlace()
		return nil, errors.Wrap(err, "connect")
	}
	b.sequence++
	c := newConn(b, nc, b.sequence)
	b.active[c] = struct{}{}
	return c, nil
}

// freePlace passes a place on to the first waiter. b.mu is held.
func (b *backend) freePlace() {
	if len(b.waiters) > 0 && !b.closed {
		b.nextWaiter() <- nil
		return
	}
	b.open--
}

func (b *backend) nextWaiter() chan *conn {
	w := b.waiters[0]
	b.waiters = slices.Delete(b.waiters, 0, 1)
	return w
}

// holdReuse stops reuse for a while if the backend server sent bytes that
// belong to no request. Where responses are signed a late one is recognised, so
// that closing the connection suffices. b.mu is held.
func (b *backend) holdReuse(unsolicited bool) {
	if !unsolicited {
		return
	}
	if b.pool.settings().Headers.Signature != "" {
		b.pool.recorder.Record(eventExtra, events.F("address", b.address))
		return
	}
	b.noReuseTill = time.Now().Add(unsolicitedHold)
	for _, c := range b.idle {
		_ = c.Conn.Close()
	}
	b.open -= len(b.idle)
	b.idle = nil
	b.pool.recorder.Record(eventUnsolicited, events.F("address", b.address),
		events.F("hold_ms", unsolicitedHold.Milliseconds()))
}

// drop closes a connection after an exchange and frees its place.
func (b *backend) drop(c *conn, unsolicited bool) {
	_ = c.Conn.Close()
	b.mu.Lock()
	delete(b.active, c)
	b.holdReuse(unsolicited)
	b.freePlace()
	b.mu.Unlock()
}

// release ends an exchange whose response was read whole. The connection
// becomes idle or goes to a waiter if it may be reused, and is closed if not.
func (b *backend) release(c *conn, reusable bool) {
	s := b.pool.settings()
	now := time.Now()
	b.mu.Lock()
	for other := range b.active {
		if other.sequence < c.sequence && other.waitingSince.Load() != 0 {
			other.outrun.Store(true)
		}
	}
	if !reusable || b.closed || b.open > s.PerInstance() ||
		now.Before(b.noReuseTill) || c.raw == nil || c.retired.Load() {
		b.mu.Unlock()
		b.drop(c, false)
		return
	}
	if len(b.waiters) > 0 {
		b.nextWaiter() <- c
		b.mu.Unlock()
		return
	}
	c.idleAt = now
	delete(b.active, c)
	b.idle = append(b.idle, c)
	b.mu.Unlock()
}

// retire closes idle connections after idleMs and connections that stayed
// silent, and reports whether nothing is left.
func (b *backend) retire(now time.Time, s *dynamic.Service) (empty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(b.idle) && now.Sub(b.idle[n].idleAt) >= dynamic.MS(s.Connections.IdleMS) {
		_ = b.idle[n].Conn.Close()
		n++
	}
	b.idle = slices.Delete(b.idle, 0, n)
	b.open -= n
	for c := range b.active {
		since := c.waitingSince.Load()
		if since == 0 || !c.outrun.Load() || now.UnixNano()-since < int64(dynamic.MS(s.Connections.SilentMS)) {
			continue
		}
		if c.retired.CompareAndSwap(false, true) {
			if c.interrupts {
				c.silent.Store(true)
				_ = c.Conn.Close()
			}
			b.pool.recorder.Record(eventSilent, events.F("address", b.address),
				events.F("silent_ms", (now.UnixNano()-since)/int64(time.Millisecond)))
		}
	}
	return b.open == 0 && len(b.waiters) == 0 && now.After(b.noReuseTill)
}

func (b *backend) closeIdle() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.idle)
	for _, c := range b.idle {
		_ = c.Conn.Close()
	}
	b.idle = nil
	b.open -= n
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
