package bench

import (
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/retry"
	"lentilpin/pkg/routing"
)

// request is one request of a caller.
type request struct {
	entry    *entry
	at       time.Duration
	work     float64 // factor on meanWork
	crash    bool    // crashes the backend server that runs it
	done     bool
	attempts []*attempt
	servers  []*routing.Server // of the attempts
	pending  int
	broken   int // attempts that ended with a broken connection
	waiter   limit.Waiter
	waiting  bool
}

// attempt is one dispatch of a request to a backend server.
type attempt struct {
	request  *request
	server   *routing.Server
	backend  *backend
	sent     time.Duration
	arrived  time.Duration
	load     int
	ended    bool // at the entry
	canceled bool // at the backend server
	refused  bool // the connection was refused
}

// entry is the part of the gateway that joins the decision packages.
type entry struct {
	bench   *bench
	domain  int
	set     *routing.Set
	prober  *measure.Prober
	budgets *measure.Budgets
	retries *retry.Budget
	hedge   *retry.HedgeDelay
	line    *limit.Line
	heads   map[*limit.Waiter]*request
	limits  map[*routing.Server]*limit.Concurrency
	outlier *outlier.Detector
	crashes *quarantine.List
}

func newEntry(b *bench, ordinal, domain int, seed uint64) (*entry, error) {
	s := b.settings
	set, err := routing.NewSet(routing.Options{Service: b.deployment.Service, FailureDomain: domainName(domain), Seed: seed, Settings: s})
	if err != nil {
		return nil, err
	}
	e := &entry{
		bench: b, domain: domain, set: set,
		budgets: measure.NewBudgets(0, s, ordinal),
		retries: retry.NewBudget(s.Retry),
		hedge:   retry.NewHedgeDelay(s.Retry.HedgePercentile),
		line:    limit.NewLine(s.Queue.MaxRequests, time.Duration(s.Queue.MaxWaitMS)*time.Millisecond),
		heads:   map[*limit.Waiter]*request{},
		limits:  map[*routing.Server]*limit.Concurrency{},
		outlier: outlier.New(s, events.Discard{}),
		crashes: quarantine.New(s, events.Discard{}),
	}
	var budget measure.Taker = e.budgets
	if set.ProbesPerRequest() > 0 {
		budget = unlimited{}
	}
	e.prober = measure.NewProber(set, budget, seed)
	return e, nil
}

// unlimited grants Prequal all the probes that its description asks for.
type unlimited struct{}

func (unlimited) Take(time.Duration, *routing.Server, int) bool { return true }

func (e *entry) update(list []routing.Backend) {
	e.set.Update(e.bench.loop.now, list)
	addresses := make([]string, 0, len(list))
	for _, b := range list {
		addresses = append(addresses, b.Address)
	}
	for _, s := range e.set.Servers() {
		if e.limits[s] == nil {
			e.limits[s] = limit.NewConcurrency(int32(e.bench.settings.PerInstance()))
		}
	}
	e.outlier.Update(e.bench.loop.now, addresses)
	e.sweep()
}

func (e *entry) crosses(b *backend) bool { return e.domain != b.domain }

func (e *entry) sweep() {
	if !e.bench.variant.Guards {
		return
	}
	for _, c := range e.outlier.Sweep(e.bench.loop.now) {
		if s := e.set.Server(c.Address); s != nil {
			s.SetWeight(c.Weight)
		}
	}
	e.wake()
}

func (e *entry) accept(r *request) {
	if e.isBlocked(r) {
		e.finish(r, false)
		return
	}
	e.retries.Request(e.bench.loop.now)
	e.bench.loop.after(e.bench.settings.Timeout(), func() { e.giveUp(r) })
	if e.line.Len() > 0 || !e.dispatch(r) {
		e.enqueue(r)
	}
}

// enqueue lets a request wait until an attempt of this entry has ended.
func (e *entry) enqueue(r *request) {
	now := e.bench.loop.now
	r.waiter = limit.Waiter{}
	if err := e.line.Join(now, r.at+e.bench.settings.Timeout(), &r.waiter); err != nil {
		e.finish(r, false)
		return
	}
	e.heads[&r.waiter], r.waiting = r, true
	e.bench.loop.after(r.waiter.Deadline-now, func() {
		if r.waiting {
			e.leave(r, false)
			e.finish(r, false)
		}
	})
}

func (e *entry) leave(r *request, started bool) {
	e.line.Leave(e.bench.loop.now, &r.waiter, started)
	delete(e.heads, &r.waiter)
	r.waiting = false
}

func (e *entry) wake() {
	for w := e.line.Head(); w != nil; w = e.line.Head() {
		r := e.heads[w]
		if !e.dispatch(r) {
			return
		}
		e.leave(r, true)
	}
}

// dispatch sends one attempt; false: no backend server has capacity.
func (e *entry) dispatch(r *request) bool {
	b := e.bench
	now := b.loop.now
	s := e.set.Pick(now, r.servers)
	if s == nil {
		return false
	}
	a := &attempt{request: r, server: s, backend: b.byAddress[s.Address()], sent: now}
	r.attempts, r.servers = append(r.attempts, a), append(r.servers, s)
	r.pending++
	if e.crosses(a.backend) {
		b.result.CrossDomainRequests++
	}
	b.loop.after(b.network.delay(now, e.domain, a.backend.domain), func() { a.backend.arrive(a) })
	b.loop.after(time.Duration(b.settings.AttemptTimeoutMS)*time.Millisecond, func() {
		if !a.ended {
			e.abandon(a, routing.Timeout)
			e.failed(r)
		}
	})
	if delay, ok := e.hedge.Delay(); ok && b.variant.Hedge && len(r.attempts) == 1 {
		b.loop.after(delay, func() { e.sendHedge(r) })
	}
	e.probe()
	return true
}

func (e *entry) sendHedge(r *request) {
	if r.done || r.pending == 0 || len(r.attempts) >= e.bench.settings.Retry.MaxAttempts || !e.retries.TakeHedge(e.bench.loop.now) {
		return
	}
	if e.dispatch(r) {
		e.bench.result.Hedges++
	}
}

// reply carries an outcome and the load at this moment back to the entry.
func (a *attempt) reply(o routing.Outcome) {
	b, e := a.backend.bench, a.request.entry
	report := a.backend.report()
	hasReport := o != routing.Broken
	b.loop.after(b.network.delay(b.loop.now, e.domain, a.backend.domain), func() {
		if a.ended {
			return
		}
		if hasReport {
			b.late(func() { a.server.Observe(b.loop.now, report, 0) })
		}
		e.receive(a, o)
	})
}

func (e *entry) receive(a *attempt, o routing.Outcome) {
	r := a.request
	e.end(a, o)
	if o != routing.Success {
		e.failed(r)
		return
	}
	for _, x := range r.attempts {
		if !x.ended {
			e.abandon(x, routing.Canceled)
		}
	}
	e.finish(r, true)
	e.wake()
}

// end counts the end of an attempt in every package that learns from it.
func (e *entry) end(a *attempt, o routing.Outcome) {
	now := e.bench.loop.now
	latency := now - a.sent
	a.ended = true
	a.request.pending--
	a.server.End(now, latency, o)
	if o == routing.Success || o == routing.Canceled || o == routing.Timeout {
		e.hedge.Record(latency)
	}
	if !e.bench.variant.Guards || o == routing.Canceled {
		return
	}
	a.server.SetLimit(e.limits[a.server].Record(latency, o))
	e.outlier.Record(now, a.server.Address(), latency, o)
	switch fp := uint64(a.sent); {
	case o != routing.Broken:
	case a.refused:
		e.crashes.Failed(now, a.server.Address())
	case a.request.crash:
		e.crashes.Broken(now, crashFingerprint, a.server.Address())
		e.verify(a)
	default:
		e.crashes.Broken(now, fp, a.server.Address()) // any other request
		e.verify(a)
	}
}

// verify asks a backend server that broke a connection whether it accepts one,
// as the gateway does. It counts as a probe.
func (e *entry) verify(a *attempt) {
	b := e.bench
	a.request.broken++
	b.result.count(1, measure.ProbeBytes, e.crosses(a.backend))
	there := b.network.delay(b.loop.now, e.domain, a.backend.domain)
	b.loop.after(there, func() {
		down := b.loop.now < a.backend.downTo
		b.loop.after(b.network.delay(b.loop.now, e.domain, a.backend.domain), func() {
			if down {
				e.crashes.Failed(b.loop.now, a.server.Address())
			}
		})
	})
}

// abandon ends an attempt whose response is not awaited and cancels it.
func (e *entry) abandon(a *attempt, o routing.Outcome) {
	e.end(a, o)
	b := e.bench
	b.loop.after(b.network.delay(b.loop.now, e.domain, a.backend.domain), func() {
		a.canceled = true
		a.backend.cancel(a)
	})
}

// failed retries after a failed attempt. A request that broke as many backend
// servers as quarantine needs waits first until they are verified.
func (e *entry) failed(r *request) {
	e.wake()
	if r.broken >= e.bench.settings.Quarantine.Breaks && e.bench.variant.Guards {
		e.bench.loop.after(3*e.bench.network.cross, func() { e.retry(r) })
		return
	}
	e.retry(r)
}

func (e *entry) retry(r *request) {
	switch {
	case r.done || r.waiting:
	case e.isBlocked(r):
		e.finish(r, false)
	case len(r.attempts) < e.bench.settings.Retry.MaxAttempts && e.retries.Take(e.bench.loop.now):
		e.bench.result.Retries++
		if !e.dispatch(r) {
			e.enqueue(r)
		}
	case r.pending == 0:
		e.finish(r, false)
	}
}

func (e *entry) isBlocked(r *request) bool {
	return r.crash && e.bench.variant.Guards && e.crashes.Blocked(e.bench.loop.now, crashFingerprint)
}

func (e *entry) giveUp(r *request) {
	if r.done {
		return
	}
	if r.waiting {
		e.leave(r, false)
	}
	for _, x := range r.attempts {
		if !x.ended {
			e.abandon(x, routing.Canceled)
		}
	}
	e.finish(r, false)
	e.wake()
}

func (e *entry) finish(r *request, ok bool) {
	r.done = true
	e.bench.record(r, ok)
}

// probe sends the probes that are due.
func (e *entry) probe() {
	b := e.bench
	for {
		s, ok := e.prober.Next(b.loop.now)
		if !ok {
			return
		}
		target := b.byAddress[s.Address()]
		b.result.count(1, measure.ProbeBytes, e.crosses(target))
		b.loop.after(b.network.delay(b.loop.now, e.domain, target.domain), func() {
			if b.loop.now < target.downTo {
				return
			}
			report := target.report()
			b.loop.after(b.network.delay(b.loop.now, e.domain, target.domain), func() {
				b.late(func() { e.set.Probed(b.loop.now, s, report) })
			})
		})
	}
}
