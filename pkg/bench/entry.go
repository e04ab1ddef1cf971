package bench

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/retry"
	"lentilpin/pkg/route"
	"lentilpin/pkg/routing"
)

type request struct {
	entry           *entry
	arrivedAt       time.Duration // at the entry
	work            float64       // factor on meanServiceTime
	crash           bool          // crashes the backend server that runs it
	done            bool
	attempts        []*attempt
	servers         []*routing.Server // servers of the attempts
	pendingAttempts int
	brokenAttempts  int // attempts that ended with a broken connection
	waiter          limit.Waiter
	queued          bool  // in the wait list of the entry
	kind            *Kind // nil: not of a Workload
}

// timeout returns the time that the caller waits for a response.
func (r *request) timeout() time.Duration {
	if r.kind != nil {
		return r.kind.Deadline
	}
	return r.entry.simulation.settings.Timeout()
}

// mayRunTwice reports whether the request is idempotent.
func (r *request) mayRunTwice() bool { return r.kind == nil || r.kind.Idempotent }

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	request           *request
	server            *routing.Server
	backend           *backend
	sentAt            time.Duration
	startedAt         time.Duration // in a slot
	slowdown          float64       // that the backend server had reported when it was selected
	arrivedAt         time.Duration // at the backend server
	inflightOnArrival int           // requests in flight at the backend server on arrival
	ended             bool          // known to have ended at the entry
	canceled          bool          // known to be canceled at the backend server
	connectionRefused bool
}

// entry simulates the part of the gateway that connects the decision packages.
type entry struct {
	simulation        *simulation
	domain            int
	routingSet        *routing.Set
	prober            *measure.Prober
	probeBudgets      *measure.Budgets
	retryBudget       *retry.Budget
	hedgeDelay        *retry.HedgeDelay
	hedgeBudgets      *retry.HedgeBudgets
	waitList          *limit.WaitList
	requestsByWaiter  map[*limit.Waiter]*request
	concurrencyLimits map[*routing.Server]*limit.Concurrency
	outlier           *outlier.Detector
	quarantines       *quarantine.List
	routes            map[*Kind]*route.Route
	rand              *rand.Rand // decides which decisions load queries precede
	queryWaiters      map[*routing.Server][]func()
	queryDecisions    int // decisions before which load queries were allowed
	queriesSent       int
}

func newEntry(sim *simulation, ordinal, domain int, seed uint64) (*entry, error) {
	s := sim.settings
	routingSet, err := routing.NewSet(routing.Options{Service: sim.deployment.Service, FailureDomain: domainName(domain), Seed: seed, Settings: s})
	if err != nil {
		return nil, err
	}
	e := &entry{
		simulation: sim, domain: domain, routingSet: routingSet,
		probeBudgets:      measure.NewBudgets(0, s, ordinal),
		retryBudget:       retry.NewBudget(s.Retry),
		hedgeDelay:        retry.NewHedgeDelay(s.Retry.HedgePercentile),
		waitList:          limit.NewWaitList(s.Queue.MaxRequests, time.Duration(s.Queue.MaxWaitMS)*time.Millisecond),
		requestsByWaiter:  map[*limit.Waiter]*request{},
		concurrencyLimits: map[*routing.Server]*limit.Concurrency{},
		outlier:           outlier.New(s, events.Discard{}),
		quarantines:       quarantine.New(s, events.Discard{}),
		routes:            sim.deployment.Workload.newRoutes(),
		rand:              newRand(seed, 5),
		queryWaiters:      map[*routing.Server][]func(){},
	}
	e.hedgeBudgets = &retry.HedgeBudgets{Fleet: &retry.HedgeBudget{}, Retry: e.retryBudget}
	e.chargeHedgeBudget()
	e.retryBudget.Instances(sim.deployment.entryCount())
	var budget measure.ProbeLimiter = e.probeBudgets
	if routingSet.ProbesPerRequest() > 0 {
		budget = unlimitedBudget{}
	}
	e.prober = measure.NewProber(routingSet, budget, seed)
	return e, nil
}

// unlimitedBudget allows all probes. It is used for Prequal, whose published
// method sets the number of probes per request.
type unlimitedBudget struct{}

func (unlimitedBudget) Take(time.Duration, *routing.Server, int) bool { return true }

// updateBackends replaces the list of backend servers.
func (e *entry) updateBackends(list []routing.Backend) {
	e.routingSet.Update(e.simulation.loop.now, list)
	addresses := make([]string, 0, len(list))
	for _, b := range list {
		addresses = append(addresses, b.Address)
	}
	for _, s := range e.routingSet.Servers() {
		if e.concurrencyLimits[s] == nil {
			e.concurrencyLimits[s] = limit.NewConcurrency(int32(e.simulation.settings.ConnectionsPerInstance()))
		}
	}
	e.outlier.Update(e.simulation.loop.now, addresses)
	e.sweepOutliers()
}

func (e *entry) isCrossDomain(b *backend) bool { return e.domain != b.domain }

// sweepOutliers applies changed weights of the outlier detector and dispatches
// queued requests. It does nothing if the variant has no protections.
func (e *entry) sweepOutliers() {
	if !e.simulation.variant.Protections {
		return
	}
	for _, c := range e.outlier.Sweep(e.simulation.loop.now) {
		if s := e.routingSet.Server(c.Address); s != nil {
			s.SetWeight(c.Weight)
		}
	}
	e.dispatchQueued()
}

// accept processes a request from a caller: it dispatches, queues or refuses it.
func (e *entry) accept(r *request) {
	if e.isQuarantined(r) {
		e.finish(r, false)
		return
	}
	e.retryBudget.RecordFirstAttempt(e.simulation.loop.now)
	e.hedgeBudgets.RecordRequest(&e.simulation.settings.Retry)
	e.simulation.loop.after(r.timeout(), func() { e.expire(r) })
	e.queryLoads(nil, func() {
		if !r.done && (e.waitList.Len() > 0 || !e.dispatch(r)) {
			e.enqueue(r)
		}
	})
}

// enqueue adds a request to the wait list until a backend server has capacity. The
// request fails if the list is full or its deadline passes.
func (e *entry) enqueue(r *request) {
	now := e.simulation.loop.now
	r.waiter = limit.Waiter{}
	if err := e.waitList.Join(now, r.arrivedAt+r.timeout(), &r.waiter); err != nil {
		e.finish(r, false)
		return
	}
	e.requestsByWaiter[&r.waiter], r.queued = r, true
	e.simulation.loop.after(r.waiter.Deadline-now, func() {
		if r.queued {
			e.dequeue(r, false)
			e.finish(r, false)
		}
	})
}

// dequeue removes a request from the wait list. started is false if it leaves
// without being dispatched.
func (e *entry) dequeue(r *request, started bool) {
	e.waitList.Leave(e.simulation.loop.now, &r.waiter, started)
	delete(e.requestsByWaiter, &r.waiter)
	r.queued = false
}

// dispatchQueued dispatches queued requests while backend servers have capacity.
func (e *entry) dispatchQueued() {
	for w := e.waitList.Head(); w != nil; w = e.waitList.Head() {
		r := e.requestsByWaiter[w]
		if !e.dispatch(r) {
			return
		}
		e.dequeue(r, true)
	}
}

// dispatch sends one attempt. It returns false if no backend server has capacity.
func (e *entry) dispatch(r *request) bool {
	sim := e.simulation
	now := sim.loop.now
	s := e.routingSet.Pick(now, r.servers)
	if s == nil {
		return false
	}
	a := &attempt{request: r, server: s, backend: sim.backendsByAddress[s.Address()], sentAt: now}
	r.attempts, r.servers = append(r.attempts, a), append(r.servers, s)
	r.pendingAttempts++
	report, _, _ := s.Reported(now)
	a.slowdown = report.Slowdown
	e.countAttempt(a)
	sim.loop.after(sim.network.delay(now, e.domain, a.backend.domain), func() { a.backend.arrive(a) })
	timeout := time.Duration(sim.settings.AttemptTimeoutMS) * time.Millisecond
	if r.kind != nil && r.kind.Timeout > 0 {
		timeout = r.kind.Timeout
	}
	sim.loop.after(timeout, func() {
		if !a.ended {
			e.abandonAttempt(a, routing.Timeout)
			e.handleFailure(r)
		}
	})
	e.scheduleHedge(r)
	e.sendProbes()
	return true
}

// sendReply sends the outcome and the current load report of the backend server to
// the entry.
func (a *attempt) sendReply(o routing.Outcome) {
	sim, e := a.backend.simulation, a.request.entry
	report := a.backend.report()
	hasReport := o != routing.Broken
	sim.loop.after(sim.network.delay(sim.loop.now, e.domain, a.backend.domain), func() {
		if a.ended {
			return
		}
		if hasReport {
			sim.afterReportDelay(func() { a.server.RecordReport(sim.loop.now, report, 0) })
		}
		e.receiveReply(a, o)
	})
}

// receiveReply ends an attempt with the outcome of its reply. A success completes
// the request and cancels its other attempts.
func (e *entry) receiveReply(a *attempt, o routing.Outcome) {
	r := a.request
	e.endAttempt(a, o)
	if o != routing.Success {
		e.handleFailure(r)
		return
	}
	for _, x := range r.attempts {
		if !x.ended {
			e.abandonAttempt(x, routing.Canceled)
		}
	}
	e.finish(r, true)
	e.dispatchQueued()
}

// endAttempt ends an attempt and reports it to every package that uses its
// outcome.
func (e *entry) endAttempt(a *attempt, o routing.Outcome) {
	now := e.simulation.loop.now
	latency := now - a.sentAt
	a.ended = true
	a.request.pendingAttempts--
	a.server.EndAttempt(now, latency, o)
	if kind := a.request.kind; kind != nil && o == routing.Success {
		e.routes[kind].BaselineLatency.Observe(latency, a.slowdown)
	}
	if o == routing.Success || o == routing.Canceled || o == routing.Timeout {
		e.hedgeDelay.Record(latency)
	}
	if !e.simulation.variant.Protections || o == routing.Canceled {
		return
	}
	if e.simulation.settings.Queue.AdaptiveLimit {
		a.server.SetLimit(e.concurrencyLimits[a.server].Record(latency, o))
	}
	e.outlier.Record(now, a.server.Address(), latency, o)
	switch fingerprint := uint64(a.sentAt); {
	case o != routing.Broken:
	case a.connectionRefused:
		e.quarantines.Failed(now, a.server.Address())
	case a.request.crash:
		e.quarantines.Broken(now, crashFingerprint, a.server.Address())
		e.verifyBackend(a)
	default:
		e.quarantines.Broken(now, fingerprint, a.server.Address()) // the send time serves as the fingerprint of any other request
		e.verifyBackend(a)
	}
}

// verifyBackend checks whether a backend server that broke a connection accepts a
// new one, as the gateway does. The check counts as a probe.
func (e *entry) verifyBackend(a *attempt) {
	sim := e.simulation
	a.request.brokenAttempts++
	sim.result.addProbeMessages(1, measure.ProbeBytes, e.isCrossDomain(a.backend))
	requestDelay := sim.network.delay(sim.loop.now, e.domain, a.backend.domain)
	sim.loop.after(requestDelay, func() {
		down := sim.loop.now < a.backend.downUntil
		sim.loop.after(sim.network.delay(sim.loop.now, e.domain, a.backend.domain), func() {
			if down {
				e.quarantines.Failed(sim.loop.now, a.server.Address())
			}
		})
	})
}

// abandonAttempt ends an attempt without waiting for its response and cancels it
// at the backend server.
func (e *entry) abandonAttempt(a *attempt, o routing.Outcome) {
	e.endAttempt(a, o)
	sim := e.simulation
	sim.loop.after(sim.network.delay(sim.loop.now, e.domain, a.backend.domain), func() {
		a.canceled = true
		a.backend.cancel(a)
	})
}

// handleFailure retries a request after a failed attempt. If the request has broken
// the connections of as many attempts as quarantine requires, the retry waits for
// three cross-domain delays, until the backend servers are verified.
func (e *entry) handleFailure(r *request) {
	e.dispatchQueued()
	if r.brokenAttempts >= e.simulation.settings.Quarantine.Breaks && e.simulation.variant.Protections {
		e.simulation.loop.after(3*e.simulation.network.crossDelay, func() { e.retryRequest(r) })
		return
	}
	e.retryRequest(r)
}

// retryRequest retries a request if the attempts and the retry budget allow it, and
// fails it if no attempt is pending.
func (e *entry) retryRequest(r *request) {
	switch {
	case r.done || r.queued:
	case e.isQuarantined(r):
		e.finish(r, false)
	case len(r.attempts) < e.simulation.settings.Retry.MaxAttempts && e.retryBudget.TakeRetry(e.simulation.loop.now):
		e.simulation.result.Retries++
		e.queryLoads(r.servers, func() {
			if !r.done && !e.dispatch(r) {
				e.enqueue(r)
			}
		})
	case r.pendingAttempts == 0:
		e.finish(r, false)
	}
}

// isQuarantined reports whether the quarantine list blocks a request. Only requests
// that crash backend servers are looked up.
func (e *entry) isQuarantined(r *request) bool {
	return r.crash && e.simulation.variant.Protections && e.quarantines.CheckBlocked(e.simulation.loop.now, crashFingerprint)
}

// expire fails a request whose timeout has passed and cancels its attempts.
func (e *entry) expire(r *request) {
	if r.done {
		return
	}
	if r.queued {
		e.dequeue(r, false)
	}
	for _, x := range r.attempts {
		if !x.ended {
			e.abandonAttempt(x, routing.Canceled)
		}
	}
	e.finish(r, false)
	e.dispatchQueued()
}

func (e *entry) finish(r *request, ok bool) {
	r.done = true
	e.simulation.recordRequest(r, ok)
}

func (e *entry) sendProbes() {
	sim := e.simulation
	if e.routingSet.QueriesLoad() {
		return
	}
	for {
		s, ok := e.prober.Next(sim.loop.now)
		if !ok {
			return
		}
		target := sim.backendsByAddress[s.Address()]
		sim.result.addProbeMessages(1, measure.ProbeBytes, e.isCrossDomain(target))
		sim.loop.after(sim.network.delay(sim.loop.now, e.domain, target.domain), func() {
			if sim.loop.now < target.downUntil {
				return
			}
			report := target.report()
			sim.loop.after(sim.network.delay(sim.loop.now, e.domain, target.domain), func() {
				sim.afterReportDelay(func() { e.routingSet.RecordProbeReply(sim.loop.now, s, report) })
			})
		})
	}
}
