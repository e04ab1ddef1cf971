package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/retry"
	"lentilpin/pkg/routing"
)

// hedges holds the budgets of the hedges of a service and counts them.
type hedges struct {
	budgets   retry.HedgeBudgets
	decisions [retry.HedgeDecisionCount]hedgeCounter
	won       hedgeCounter // the hedge gave the response
	canceled  hedgeCounter // the first attempt, or the caller, was faster
	requests  atomic.Uint64
}

// hedgeCounter counts for the metrics and for the operator interface.
type hedgeCounter struct {
	metric tally.Counter
	count  atomic.Uint64
}

func (c *hedgeCounter) add() {
	c.metric.Inc(1)
	c.count.Add(1)
}

func newHedges(scope tally.Scope, retryBudget *retry.Budget, fleet *retry.HedgeBudget) *hedges {
	h := &hedges{budgets: retry.HedgeBudgets{Fleet: fleet, Retry: retryBudget}}
	h.decisions[retry.HedgeSent].metric = scope.Counter("hedges")
	for d := retry.HedgeSent + 1; d < retry.HedgeDecisionCount; d++ {
		h.decisions[d].metric = scope.Tagged(map[string]string{"reason": d.String()}).Counter("hedges_refused")
	}
	h.won.metric, h.canceled.metric = scope.Counter("hedges_won"), scope.Counter("hedges_canceled")
	return h
}

// recordFirstAttempt counts a request for the budgets of retries and hedges.
func (s *service) recordFirstAttempt() {
	s.retryBudget.RecordFirstAttempt(s.now())
	s.hedges.requests.Add(1)
	s.hedges.budgets.RecordRequest(&s.settings.Load().Retry)
}

// hedge is the hedge of one idempotent request, sent or not. It is used only by the
// goroutine of waitForResponse.
type hedge struct {
	*idempotentCall
	timer  *time.Timer
	due    <-chan time.Time // the early check is due, or the delay has passed
	isLate bool             // the early check was made, or there is none
	delay  time.Duration    // from the early check to the end of the delay
	ready  <-chan struct{}  // the loads that the decision needs are known
}

// newHedge starts the timer of the hedge if one is possible.
func (ic *idempotentCall) newHedge() *hedge {
	h := &hedge{idempotentCall: ic}
	if !ic.settings.Retry.Hedge || ic.settings.Retry.HedgeRatio == 0 || ic.settings.Retry.FleetHedgeRatio == 0 || ic.maxAttempts() < 2 {
		return h
	}
	delay, ok := ic.currentHedgeDelay()
	if !ok {
		return h
	}
	if ic.route != nil && ic.route.TargetLatencyMS > 0 {
		early := time.Duration(retry.EarlyHedgeFactor * float64(delay))
		h.delay = delay - early
		h.startTimer(early)
		return h
	}
	h.isLate = true
	h.startTimer(delay)
	return h
}

// onDue handles the end of the timer. If reports that other requests brought show early
// that the backend server is slow, waiting longer gains nothing.
func (h *hedge) onDue() {
	h.due = nil
	isSlow := h.isPossible() && h.firstCheck().First.IsSlow()
	if !h.isLate {
		h.isLate = true
		h.startTimer(h.delay)
		if !isSlow {
			return
		}
	}
	if h.ready == nil && h.isPossible() {
		h.prepare(isSlow)
	}
}

// firstCheck returns what is known of the latest attempt, which is in progress.
func (h *hedge) firstCheck() retry.HedgeCheck {
	first := h.tried[len(h.tried)-1]
	return h.hedgeCheck(first, h.pending[first].start)
}

func (h *hedge) startTimer(delay time.Duration) {
	h.stop()
	h.timer = time.NewTimer(delay)
	h.due = h.timer.C
}

func (h *hedge) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// currentHedgeDelay returns the delay derived from the target latency of the
// route or, without a target, the latency percentile of the service. It returns
// false if neither is known.
func (ic *idempotentCall) currentHedgeDelay() (time.Duration, bool) {
	if ic.route != nil {
		if delay, ok := ic.route.HedgeDelay(); ok {
			return delay, true
		}
	}
	return ic.svc.hedgeDelay.Delay()
}

// prepare queries the load of the backend server of the first attempt, unless it is known
// to be slow, and, unless that shows that no hedge is needed, the loads that are needed to
// select the second one. It runs in the background and does not delay the result of the
// first attempt.
func (h *hedge) prepare(isSlow bool) {
	ready := make(chan struct{})
	h.ready = ready
	check, tried, ctx, c := h.hedgeCheck, slices.Clone(h.tried), h.ctx, h.call
	first := tried[len(tried)-1]
	start := h.pending[first].start
	c.g.background.Go(func() {
		defer close(ready)
		if !isSlow {
			c.queryFirstServer(ctx, first)
		}
		if check(first, start).Decide() == retry.HedgeSent {
			c.queryLoads(ctx, tried)
		}
	})
}

// isPossible reports whether the latest attempt is in progress and another one may be
// sent. It may end between the delay and the replies to the load queries.
func (h *hedge) isPossible() bool {
	if h.hedged != nil || h.attemptCount >= h.maxAttempts() || h.ctx.Err() != nil {
		return false
	}
	_, isPending := h.pending[h.tried[len(h.tried)-1]]
	return isPending
}

// queryFirstServer queries the backend server of the first attempt, within the budget of
// load queries.
func (c *call) queryFirstServer(ctx context.Context, first *routing.Server) {
	if !c.svc.routingSet.QueriesLoad() || rand.Float64() >= c.svc.queryShare() {
		return
	}
	timeout := localQueryTimeout
	if !first.Local() {
		timeout = remoteQueryTimeout
	}
	c.svc.queryAll(ctx, []*routing.Server{first}, timeout)
}

// hedgeCheck returns what is known of the request and of the backend server of its first
// attempt, which began at start.
func (c *call) hedgeCheck(first *routing.Server, start time.Time) retry.HedgeCheck {
	now := c.g.now()
	check := retry.HedgeCheck{Elapsed: time.Since(c.startTime)}
	if c.route != nil {
		check.Target = time.Duration(c.route.TargetLatencyMS) * time.Millisecond
		check.Baseline = c.route.BaselineLatency.Latency()
	}
	report, age, known := first.Reported(now)
	check.First = retry.FirstServer{
		Reported: known && age <= time.Since(start) && !first.IsUnresponsive(now), ReportAge: age, Slowdown: report.Slowdown, Queued: report.Queued,
	}
	return check
}

// start sends the hedge if the decision allows it and a backend server has capacity now.
// Waiting in the queue would delay the result of the first attempt.
func (h *hedge) start() {
	h.ready = nil
	if !h.isPossible() {
		return
	}
	check := h.firstCheck()
	decision := check.Decide()
	if decision == retry.HedgeSent {
		decision = h.send()
	}
	if decision == retry.HedgeFirstNotSlow {
		if wait, ok := check.RecheckAfter(); ok {
			h.startTimer(wait)
		}
	}
	h.svc.hedges.decisions[decision].add()
}

// send takes the hedge from the budgets and starts the second attempt.
func (h *hedge) send() retry.HedgeDecision {
	now := h.g.now()
	if !h.svc.routingSet.HasSpareCapacity(now, h.tried) {
		return retry.HedgeNoCapacity
	}
	if d := h.svc.hedges.budgets.Take(now, &h.settings.Retry); d != retry.HedgeSent {
		return d
	}
	server := h.svc.routingSet.Pick(now, h.tried)
	if server == nil {
		h.svc.hedges.budgets.PutBack(&h.settings.Retry)
		return retry.HedgeNoCapacity
	}
	h.hedged = server
	h.startAttempt(server)
	return retry.HedgeSent
}

// countHedgeWon counts the hedge if its backend server gave the response.
func (ic *idempotentCall) countHedgeWon(server *routing.Server) {
	if ic.hedged == server {
		ic.svc.hedges.won.add()
	}
}

// countHedgeCanceled counts the hedge if it is in progress at a backend server whose
// attempt is canceled.
func (ic *idempotentCall) countHedgeCanceled(server *routing.Server) {
	if ic.hedged == server {
		ic.svc.hedges.canceled.add()
	}
}
