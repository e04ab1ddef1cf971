package bench

import (
	"time"

	"lentilpin/pkg/retry"
	"lentilpin/pkg/routing"
)

// scheduleHedge schedules the hedge of a request whose first attempt was just sent.
func (e *entry) scheduleHedge(r *request) {
	if !e.simulation.variant.Hedge || e.simulation.settings.Retry.HedgeRatio == 0 || len(r.attempts) != 1 || !r.mayRunTwice() {
		return
	}
	if delay, ok := e.currentHedgeDelay(r); ok {
		e.simulation.loop.after(delay, func() { e.prepareHedge(r) })
		if e.checksHedges(r) {
			e.simulation.loop.after(time.Duration(retry.EarlyHedgeFactor*float64(delay)), func() {
				if e.hedgePossible(r) && e.hedgeCheck(r).First.IsSlow() {
					e.prepareHedge(r)
				}
			})
		}
	}
}

// currentHedgeDelay returns the delay that package gateway would use.
func (e *entry) currentHedgeDelay(r *request) (time.Duration, bool) {
	if route := e.routes[r.kind]; route != nil {
		if delay, ok := route.HedgeDelay(); ok {
			return delay, true
		}
	}
	return e.hedgeDelay.Delay()
}

// hedgePossible reports whether an attempt is in progress and another one may be sent.
func (e *entry) hedgePossible(r *request) bool {
	return !r.done && r.pendingAttempts > 0 && len(r.attempts) < e.simulation.settings.Retry.MaxAttempts
}

// prepareHedge queries the load of the backend server of the first attempt and, if that
// does not show that no hedge is needed, the loads needed to select the second one.
func (e *entry) prepareHedge(r *request) {
	if !e.hedgePossible(r) {
		return
	}
	if !e.checksHedges(r) {
		e.queryLoads(r.servers, func() { e.sendHedge(r) })
		return
	}
	first := r.attempts[len(r.attempts)-1].server
	timeout := localQueryTimeout
	if !first.Local() {
		timeout = remoteQueryTimeout
	}
	next := func() {
		if e.hedgePossible(r) && e.hedgeCheck(r).Decide() == retry.HedgeSent {
			e.queryLoads(r.servers, func() { e.sendHedge(r) })
			return
		}
		e.sendHedge(r)
	}
	if e.hedgeCheck(r).First.IsSlow() || e.rand.Float64() >= e.queryShare() {
		next()
		return
	}
	e.queryAll([]*routing.Server{first}, timeout, next)
}

// checksHedges reports whether a hedge is sent only if the load reports call for it.
func (e *entry) checksHedges(r *request) bool {
	return r.kind != nil && !e.simulation.variant.UncheckedHedge
}

// hedgeCheck returns what the entry knows of the request and its latest attempt.
func (e *entry) hedgeCheck(r *request) retry.HedgeCheck {
	now, a := e.simulation.loop.now, r.attempts[len(r.attempts)-1]
	report, age, known := a.server.Reported(now)
	return retry.HedgeCheck{
		Elapsed: now - r.arrivedAt, Target: r.kind.TargetLatency, Baseline: e.routes[r.kind].BaselineLatency.Latency(),
		First: retry.FirstServer{Reported: known && age <= now-a.sentAt, ReportAge: age, Slowdown: report.Slowdown, Queued: report.Queued},
	}
}

// sendHedge sends another attempt if the decision and the budgets allow it.
func (e *entry) sendHedge(r *request) {
	now, settings := e.simulation.loop.now, &e.simulation.settings.Retry
	if !e.hedgePossible(r) {
		return
	}
	if e.checksHedges(r) {
		check := e.hedgeCheck(r)
		if d := check.Decide(); d != retry.HedgeSent {
			if wait, ok := check.RecheckAfter(); ok && d == retry.HedgeFirstNotSlow {
				e.simulation.loop.after(wait, func() { e.prepareHedge(r) })
			}
			return
		}
	}
	if r.kind != nil && !e.routingSet.HasSpareCapacity(now, r.servers) {
		return
	}
	if e.hedgeBudgets.Take(now, settings) != retry.HedgeSent {
		return
	}
	if e.dispatch(r) {
		e.simulation.result.Hedges++
		return
	}
	e.hedgeBudgets.PutBack(settings)
}

// chargeHedgeBudget starts the budget where a random moment of a long run would find it;
// it is empty when an instance starts.
func (e *entry) chargeHedgeBudget() {
	settings := &e.simulation.settings.Retry
	if settings.HedgeRatio == 0 {
		return
	}
	for range int(e.rand.Float64() / settings.HedgeRatio) {
		e.hedgeBudgets.RecordRequest(settings)
	}
}
