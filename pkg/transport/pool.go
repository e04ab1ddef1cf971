package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

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
