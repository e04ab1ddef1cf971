package gateway

import (
	"context"
	"net/http"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/routing"
)

// serveIdempotent serves an idempotent request. Attempts run in parallel as far
// as retries and hedges allow. The first successful response is sent to the
// caller and the other attempts are canceled.
func (c *call) serveIdempotent(ctx context.Context) result {
	if c.svc.reach.IsCut() {
		return c.handOnOrRefuse(ctx)
	}
	c.svc.recordFirstAttempt()
	ic := &idempotentCall{call: c, ctx: ctx, results: make(chan *attempt, bufferedAttempts)}
	if res := ic.startNextAttempt(); res != nil {
		return c.lastResort(ctx, *res)
	}
	return ic.waitForResponse()
}

// bufferedAttempts is the number of finished attempts of one request that need not wait
// until they are read. Most requests have at most two; a route may allow any number.
const bufferedAttempts = 2

// idempotentCall is the state of one idempotent request. It is used only by the
// goroutine of waitForResponse; the goroutines of the attempts send to results.
type idempotentCall struct {
	*call
	ctx          context.Context
	results      chan *attempt
	tried        []*routing.Server
	pending      map[*routing.Server]pendingAttempt
	attemptCount int
	fallback     *attempt        // latest error response, sent to the caller if no attempt succeeds
	mayHaveRun   bool            // an attempt that has ended without a usable response may have run the request
	hedged       *routing.Server // backend server of the hedge; nil: none was sent
}

// pendingAttempt is an attempt whose result has not arrived yet.
type pendingAttempt struct {
	cancel context.CancelFunc
	start  time.Time
}

// startNextAttempt starts an attempt at a backend server that was not tried
// yet. While none has capacity, it waits in the queue.
func (ic *idempotentCall) startNextAttempt() *result {
	server, refusal := ic.pickServer(ic.ctx, ic.tried)
	if refusal != nil {
		return refusal
	}
	if ic.outlivesDrain() {
		ic.svc.finishAttempt(server, 0, routing.Canceled)
		late := refuseInDrain()
		return &late
	}
	ic.startAttempt(server)
	return nil
}

func (ic *idempotentCall) startAttempt(server *routing.Server) {
	ctx, cancel := context.WithCancel(ic.ctx)
	if ic.pending == nil {
		ic.pending = make(map[*routing.Server]pendingAttempt, 1)
	}
	ic.pending[server] = pendingAttempt{cancel, time.Now()}
	ic.tried = append(ic.tried, server)
	ic.attemptCount++
	go func() {
		ic.results <- ic.sendAttempt(ctx, server, ic.attemptTimeout())
	}()
}

func (ic *idempotentCall) waitForResponse() result {
	hedge := ic.newHedge()
	defer hedge.stop()
	defer ic.cancelPending()
	for {
		select {
		case <-hedge.due:
			hedge.onDue()
		case <-hedge.ready:
			hedge.start()
		case a := <-ic.results:
			delete(ic.pending, a.server)
			if res, done := ic.handleResult(a); done {
				return res
			}
		}
	}
}

// handleResult processes a finished attempt. It returns true with the result of
// the request when the request has ended.
func (ic *idempotentCall) handleResult(a *attempt) (result, bool) {
	o := classifyAttempt(a)
	if o == routing.Success {
		ic.countHedgeWon(a.server)
		return ic.sendResponse(a), true
	}
	if a.failure == nil && !a.resp.Signals.Shed {
		ic.holdErrorResponse(a)
	} else {
		ic.discardAttempt(a, o)
	}
	if ic.ctx.Err() != nil {
		return ic.deadlineResult(), true
	}
	ic.waitForCrashChecks(ic.ctx)
	if ic.svc.quarantine.IsSuspect(ic.g.now(), ic.fingerprint) {
		return ic.quarantinedResult(), true
	}
	if a.isWithdrawn() {
		return ic.replaceWithdrawn()
	}
	if ic.takeRetry() {
		ic.svc.retryCounter.Inc(1)
		if refusal := ic.startNextAttempt(); refusal == nil {
			return result{}, false
		}
	}
	res := notRunResult(http.StatusBadGateway, reasonAttemptsFailed, "no attempt got a response")
	if !a.isNotRun() {
		res = ic.withRunOfAttempts(res) // not for a peer: it may be the request that broke the attempt
	}
	return ic.concludeWith(res)
}

// concludeWith ends the request, unless attempts are pending: with the held error
// response or, without one, with res.
func (ic *idempotentCall) concludeWith(res result) (result, bool) {
	if len(ic.pending) > 0 {
		return result{}, false
	}
	if ic.fallback != nil {
		kept := ic.fallback
		ic.fallback = nil
		return ic.sendResponse(kept), true
	}
	return ic.withRunOfAttempts(ic.lastResort(ic.ctx, res)), true
}

// replaceWithdrawn starts an attempt in place of one that was not sent. This is no
// retry: no backend server has received the request by the withdrawn attempt.
func (ic *idempotentCall) replaceWithdrawn() (result, bool) {
	ic.attemptCount--
	if refusal := ic.startNextAttempt(); refusal != nil {
		return ic.concludeWith(*refusal)
	}
	return result{}, false
}

// withRunOfAttempts returns a refusal whose run is unknown if an attempt may have run. Its
// status is then none of those that guarantee callers that the request has not run. An
// idempotent request can safely be sent again in either case.
func (ic *idempotentCall) withRunOfAttempts(res result) result {
	if res.run != audit.NotRun || !ic.mayHaveRun && len(ic.pending) == 0 {
		return res
	}
	res.outcome, res.run = audit.OutcomeUnknown, audit.Unknown
	res.sendRetryAfter, res.retryAfter = false, 0
	if res.status == http.StatusServiceUnavailable {
		res.status = http.StatusBadGateway
	}
	if res.reason != reasonQuarantined && res.reason != reasonDeadline {
		res.reason = reasonAttemptsFailed // the other reasons say that the request has not run
	}
	return res
}

// holdErrorResponse keeps an error response while a retry is possible. Only the
// latest one is kept.
func (ic *idempotentCall) holdErrorResponse(a *attempt) {
	if ic.fallback != nil {
		ic.discardAttempt(ic.fallback, routing.ErrorResponse)
	}
	ic.fallback = a
}

func (ic *idempotentCall) discardAttempt(a *attempt, o routing.Outcome) {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if !a.isWithdrawn() {
		ic.svc.hedgeDelay.Record(a.latency)
	}
	ic.mayHaveRun = ic.mayHaveRun || !a.isNotRun()
	ic.endAttempt(a, o)
}

func (ic *idempotentCall) takeRetry() bool {
	return ic.attemptCount < ic.maxAttempts() && ic.ctx.Err() == nil && ic.svc.retryBudget.TakeRetry(ic.g.now())
}

// cancelPending discards the held error response, if any, and cancels the
// attempts still in progress. These are ended in the background, so that the
// caller does not wait for them.
func (ic *idempotentCall) cancelPending() {
	if ic.fallback != nil {
		ic.discardAttempt(ic.fallback, routing.ErrorResponse)
		ic.fallback = nil
	}
	remaining := len(ic.pending)
	if remaining == 0 {
		return
	}
	for server, u := range ic.pending {
		u.cancel()
		ic.countHedgeCanceled(server)
		ic.record.Attempts = append(ic.record.Attempts, audit.Attempt{
			Backend: server.Address(), FailureDomain: server.FailureDomain(),
			Offset: u.start.Sub(ic.call.startTime), Duration: time.Since(u.start),
			Result: outcomeNames[routing.Canceled],
		})
	}
	c := &call{g: ic.g, svc: ic.svc, settings: ic.settings, startTime: ic.call.startTime, fingerprint: ic.fingerprint}
	ic.g.background.Go(func() {
		for range remaining {
			a := <-ic.results
			if a.resp != nil {
				_ = a.resp.Body.Close()
			}
			// Canceled attempts count too: recording only the fastest ones would
			// lower the percentile, so that hedges would start ever earlier.
			c.svc.hedgeDelay.Record(a.latency)
			c.endAttempt(a, routing.Canceled)
		}
	})
}

func (ic *idempotentCall) quarantinedResult() result {
	return ic.withRunOfAttempts(notRunResult(http.StatusServiceUnavailable, reasonQuarantined, "the request crashed backend servers"))
}

func (ic *idempotentCall) deadlineResult() result {
	if ic.r.Context().Err() != nil {
		return result{outcome: audit.OutcomeAborted, run: audit.Unknown, reason: reasonCallerGone}
	}
	return unknownResult(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before a response arrived")
}
