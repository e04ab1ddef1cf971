package bench

import "time"

// scheduleHedge schedules the hedge of a request whose first attempt was just sent.
func (e *entry) scheduleHedge(r *request) {
	if !e.simulation.variant.Hedge || len(r.attempts) != 1 || !r.mayRunTwice() {
		return
	}
	if delay, ok := e.currentHedgeDelay(r); ok {
		e.simulation.loop.after(delay, func() { e.prepareHedge(r) })
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

// prepareHedge queries the loads that are needed to select the second backend server.
func (e *entry) prepareHedge(r *request) {
	if r.done || r.pendingAttempts == 0 || len(r.attempts) >= e.simulation.settings.Retry.MaxAttempts {
		return
	}
	e.queryLoads(r.servers, func() { e.sendHedge(r) })
}

// sendHedge sends another attempt if one is still pending and the maximum number
// of attempts and the retry budget allow it.
func (e *entry) sendHedge(r *request) {
	now := e.simulation.loop.now
	if r.done || r.pendingAttempts == 0 || len(r.attempts) >= e.simulation.settings.Retry.MaxAttempts {
		return
	}
	if r.kind != nil && !e.routingSet.HasSpareCapacity(now, r.servers) {
		return
	}
	if !e.retryBudget.TakeHedge(now) {
		return
	}
	if e.dispatch(r) {
		e.simulation.result.Hedges++
	}
}
