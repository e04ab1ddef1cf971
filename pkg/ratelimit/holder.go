package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"lentilpin/pkg/routing"
)

const (
	// permitLifetime is how long a permit can be used. In any span d, a backend server
	// gets no more requests than there are permits in d + permitLifetime and the time
	// to open a connection.
	permitLifetime = 600 * time.Millisecond
	// maxPermitWait is how far ahead an instance reserves a permit. With many
	// instances, their reservations are one behind the other.
	maxPermitWait = 10 * time.Second
	// minUnusedBackoff and maxUnusedBackoff bound the pause after a permit that was
	// not used, which doubles with each further one: other instances may need them.
	minUnusedBackoff = 250 * time.Millisecond
	maxUnusedBackoff = 4 * time.Second
)

// Query asks for the permit for one request.
type Query struct {
	Server     *routing.Server
	Limit      routing.RateLimit
	Age        time.Duration // since the statement of Limit
	MaxWait    time.Duration // how long the permit can be waited for
	WarmupLeft time.Duration // with Limit.Warmup: how long the backend server is still cold
}

// Source grants permits. It is implemented by Permits.
type Source interface {
	// Take obtains a permit. If granted, it becomes usable after wait, which is at most
	// q.MaxWait; otherwise no permit is expected before wait.
	Take(ctx context.Context, q Query) (wait time.Duration, granted bool)
	// Issuer returns the address of the instance that issues the permits of s now.
	Issuer(s *routing.Server) string
}

// HolderOptions are the dependencies of a Holder.
type HolderOptions struct {
	Source Source
	Now    func() time.Duration
	Go     func(task func())    // runs a task in the background
	Wake   func()               // called when a permit has become usable
	Ended  func(wasUnused bool) // called when a permit was used or has expired
}

// Holder holds at most one permit for each rate-limited backend server of a
// service, and reserves the next one ahead, so that no request waits for the reply
// of an issuer. It is safe for concurrent use.
type Holder struct {
	options HolderOptions

	mu     sync.Mutex
	holds  map[*routing.Server]*hold
	demand demand // for permits of cold backend servers
}

// holdState is the state of the permit for one backend server.
type holdState uint8

const (
	paused   holdState = iota // no permit is requested before hold.until
	asking                    // the issuer was asked
	reserved                  // the permit becomes usable at hold.until
	usable                    // the permit is usable until hold.until
)

// hold is the permit for one backend server.
type hold struct {
	state  holdState
	until  time.Duration
	unused int    // number of permits in sequence that expired without use
	denied int    // number of denials in sequence
	warmup bool   // of a cold backend server
	issuer string // with warmup: address of the instance that was asked
}

// NewHolder returns a Holder without permits.
func NewHolder(o HolderOptions) *Holder {
	return &Holder{options: o, holds: map[*routing.Server]*hold{}, demand: newDemand()}
}

// Request requests permits for the given backend servers where none is held,
// reserved or requested. urgent states that requests are waiting for permits: it
// ends the pauses after permits that were not used.
func (h *Holder) Request(servers []*routing.Server, urgent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.prune(servers)
	for _, s := range servers {
		p := h.holds[s]
		if p == nil {
			p = &hold{}
			h.holds[s] = p
		}
		if urgent && p.state == paused && p.unused > 0 {
			p.until, p.unused = 0, 0
		}
		if p.state == paused && h.options.Now() >= p.until {
			h.request(s, p)
		}
	}
}

// prune deletes the state of backend servers that are not listed.
func (h *Holder) prune(servers []*routing.Server) {
	if len(h.holds) <= len(servers) {
		return
	}
	listed := make(map[*routing.Server]bool, len(servers))
	for _, s := range servers {
		listed[s] = true
	}
	for s, p := range h.holds {
		if !listed[s] && p.state == paused {
			delete(h.holds, s)
		}
	}
}

// Used requests the next permit after one was used.
func (h *Holder) Used(s *routing.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.holds[s]; p != nil && p.state == usable {
		p.unused = 0
		if p.warmup {
			h.demand.ended(h.options.Now(), true)
		}
		h.request(s, p)
		h.options.Ended(false)
	}
}

// NextPermit returns the time until the next reserved permit becomes usable, 0 if a
// request for one has not been answered yet. If there is neither, ok is false, and wait
// is the time until the next request for one.
func (h *Holder) NextPermit() (wait time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	next, nextRequest := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, p := range h.holds {
		switch p.state {
		case paused:
			nextRequest = min(nextRequest, p.until)
		case reserved:
			next = min(next, p.until)
		case asking, usable:
			next = min(next, now)
		}
	}
	switch {
	case next < math.MaxInt64:
		return max(0, next-now), true
	case nextRequest < math.MaxInt64:
		return max(0, nextRequest-now), false
	}
	return 0, false
}

// request asks for a permit in the background. The caller holds h.mu.
func (h *Holder) request(s *routing.Server, p *hold) {
	p.state = paused // does not count in query
	q, ok := h.query(s)
	if !ok {
		return
	}
	p.state, p.warmup = asking, q.Limit.Warmup
	if p.warmup {
		p.issuer = h.options.Source.Issuer(s)
	}
	h.options.Go(func() {
		wait, granted := h.options.Source.Take(context.Background(), q)
		h.mu.Lock()
		defer h.mu.Unlock()
		p.until = h.options.Now() + wait
		if !granted {
			p.state = paused
			if p.warmup {
				p.until += denialBackoff(p.denied)
				p.denied++
			}
			return
		}
		p.state, p.denied = reserved, 0
		time.AfterFunc(wait, func() { h.activate(s, p, q.Limit) })
	})
}

// query returns the query for a permit, false if s needs none, or is cold and there are
// as many permits as the demand justifies.
func (h *Holder) query(s *routing.Server) (q Query, ok bool) {
	now := h.options.Now()
	limit, age := s.RateLimit(now)
	q = Query{Server: s, Limit: limit, Age: age, MaxWait: maxPermitWait}
	if limit.Warmup {
		q.WarmupLeft = s.WarmupLeft(now)
		q.MaxWait = min(maxWarmupWait, q.WarmupLeft)
		if q.WarmupLeft <= 0 || !h.demand.allows(now, h.warmupPermits()) {
			return q, false
		}
	}
	return q, limit.Stated
}

// warmupPermits returns the number of permits of cold backend servers that are usable,
// reserved or requested. The caller holds h.mu.
func (h *Holder) warmupPermits() (n int) {
	for _, p := range h.holds {
		if p.warmup && p.state != paused {
			n++
		}
	}
	return n
}

// activate makes a reserved permit usable unless the rate limit has changed since it
// was requested, or the process was paused until the permit expired.
func (h *Holder) activate(s *routing.Server, p *hold, limit routing.RateLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	until := p.until + permitLifetime
	if current, _ := s.RateLimit(now); current != limit || now >= until {
		p.state = paused
		return
	}
	if p.warmup && h.options.Source.Issuer(s) != p.issuer {
		p.state = paused // the next issuer does not know of this permit
		return
	}
	p.state, p.until = usable, until
	s.GrantPermit(until)
	time.AfterFunc(until-now, func() { h.expire(s, p) })
	h.options.Wake()
}

// expire ends a permit that has not been used. The timer of a permit that was used
// in time has no effect.
func (h *Holder) expire(s *routing.Server, p *hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	if p.state != usable || now < p.until {
		return
	}
	s.RevokePermit()
	longest := maxUnusedBackoff
	if p.warmup {
		longest = maxWarmupBackoff
		h.demand.ended(now, false)
	}
	backoff := min(longest, minUnusedBackoff<<min(p.unused, 8))
	p.unused++
	p.state, p.until = paused, now+backoff
	h.options.Ended(true)
}
