package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

// read serves an idempotent request: attempts run side by side as retries and
// hedges allow, the first good response wins and the others are cancelled.
func (c *call) read(ctx context.Context) result {
	c.svc.retries.Request(c.g.now())
	rd := &reader{call: c, ctx: ctx, results: make(chan *attempt, c.maxAttempts())}
	if res := rd.launch(); res != nil {
		return *res
	}
	return rd.run()
}

// reader is the state of one idempotent request. Only run's goroutine uses it,
// the attempts send to results.
type reader struct {
	*call
	ctx      context.Context
	results  chan *attempt
	tried    []*routing.Server
	pending  map[*routing.Server]underway
	started  int
	fallback *attempt // an error response, passed on if nothing better comes
}

// underway is an attempt whose result has not arrived.
type underway struct {
	cancel context.CancelFunc
	start  time.Time
}

// launch starts one more attempt at a server not tried yet. It waits in the
// queue where none has capacity.
func (rd *reader) launch() *result {
	server, refusal := rd.pick(rd.ctx, rd.tried)
	if refusal != nil {
		return refusal
	}
	rd.start(server)
	return nil
}

func (rd *reader) start(server *routing.Server) {
	ctx, cancel := context.WithCancel(rd.ctx)
	if rd.pending == nil {
		rd.pending = make(map[*routing.Server]underway, 1)
	}
	rd.pending[server] = underway{cancel, time.Now()}
	rd.tried = append(rd.tried, server)
	rd.started++
	go func() {
		rd.results <- rd.send(ctx, server, dynamic.MS(rd.settings.AttemptTimeoutMS))
	}()
}

// prepareHedge asks for the loads that the choice of the second backend server
// needs, and signals when they are there. It does not hold up the results of the
// first attempt.
func (rd *reader) prepareHedge() <-chan struct{} {
	ready := make(chan struct{})
	exclude := slices.Clone(rd.tried)
	ctx := rd.ctx
	rd.g.background.Go(func() {
		defer close(ready)
		rd.call.consult(ctx, exclude)
	})
	return ready
}

// hedge starts a second attempt only where a server has capacity now: a hedge
// that waits in the queue would delay the results of the first attempt.
func (rd *reader) hedge() {
	if rd.started >= rd.maxAttempts() || rd.ctx.Err() != nil {
		return
	}
	if !rd.svc.set.HasRoom(rd.g.now(), rd.tried) || !rd.svc.retries.TakeHedge(rd.g.now()) {
		return
	}
	if server := rd.svc.set.Pick(rd.g.now(), rd.tried); server != nil {
		rd.svc.hedges.Inc(1)
		rd.start(server)
	}
}

func (rd *reader) run() result {
	hedgeAt, stop := rd.hedgeTimer()
	defer stop()
	defer rd.drain()
	var hedgeReady <-chan struct{}
	for {
		select {
		case <-hedgeAt:
			hedgeAt = nil
			hedgeReady = rd.prepareHedge()
		case <-hedgeReady:
			hedgeReady = nil
			rd.hedge()
		case a := <-rd.results:
			delete(rd.pending, a.server)
			if res, done := rd.take(a); done {
				return res
			}
		}
	}
}

// take judges a finished attempt. It returns true when the request is over.
func (rd *reader) take(a *attempt) (result, bool) {
	o := outcomeOf(a)
	if o == routing.Success {
		return rd.pass(a), true
	}
	if a.fail == nil && !a.resp.Signals.Shed {
		rd.keep(a)
	} else {
		rd.discard(a, o)
	}
	if rd.ctx.Err() != nil {
		return rd.expired(), true
	}
	rd.awaitVerified(rd.ctx)
	if rd.svc.quarantine.Blocked(rd.g.now(), rd.fingerprint) {
		return rd.quarantined(a), true
	}
	if rd.mayRetry() {
		rd.svc.retried.Inc(1)
		if refusal := rd.launch(); refusal == nil {
			return result{}, false
		}
	}
	if len(rd.pending) > 0 {
		return result{}, false
	}
	if rd.fallback != nil {
		kept := rd.fallback
		rd.fallback = nil
		return rd.pass(kept), true
	}
	return notRun(http.StatusBadGateway, reasonAttemptsFailed, "no attempt got a response").asRead(a), true
}

// asRead corrects the run of an idempotent request whose last attempt may have
// run; sending it again is safe in any case.
func (r result) asRead(a *attempt) result {
	if !a.isNotRun() {
		r.outcome, r.run = audit.OutcomeUnknown, audit.Unknown
	}
	return r
}

// keep holds an error response back in favour of a retry; only the last one is
// kept.
func (rd *reader) keep(a *attempt) {
	if rd.fallback != nil {
		rd.discard(rd.fallback, routing.ErrorResponse)
	}
	rd.fallback = a
}

func (rd *reader) discard(a *attempt, o routing.Outcome) {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	rd.svc.hedgeDelay.Record(a.latency)
	rd.end(a, o)
}

func (rd *reader) mayRetry() bool {
	return rd.started < rd.maxAttempts() && rd.ctx.Err() == nil && rd.svc.retries.Take(rd.g.now())
}

// drain cancels what is still under way. The losers are ended in the
// background, so that the caller does not wait for them.
func (rd *reader) drain() {
	if rd.fallback != nil {
		rd.discard(rd.fallback, routing.ErrorResponse)
		rd.fallback = nil
	}
	left := len(rd.pending)
	if left == 0 {
		return
	}
	for server, u := range rd.pending {
		u.cancel()
		rd.rec.Attempts = append(rd.rec.Attempts, audit.Attempt{
			Backend: server.Address(), FailureDomain: server.FailureDomain(),
			Offset: u.start.Sub(rd.call.started), Duration: time.Since(u.start),
			Result: outcomeWords[routing.Canceled],
		})
	}
	c := &call{g: rd.g, svc: rd.svc, settings: rd.settings, started: rd.call.started, fingerprint: rd.fingerprint}
	rd.g.background.Go(func() {
		for range left {
			a := <-rd.results
			if a.resp != nil {
				_ = a.resp.Body.Close()
			}
			// Without the losers the percentile would be that of the winners
			// and hedges would begin ever earlier.
			c.svc.hedgeDelay.Record(a.latency)
			c.end(a, routing.Canceled)
		}
	})
}

func (rd *reader) quarantined(a *attempt) result {
	return notRun(http.StatusServiceUnavailable, reasonQuarantined, "the request crashed backend servers").asRead(a)
}

func (rd *reader) expired() result {
	if rd.r.Context().Err() != nil {
		return result{outcome: audit.Aborted, run: audit.Unknown, reason: reasonCallerGone}
	}
	return unknown(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed before a response arrived")
}

// hedgeDelayOf is the delay that the route's target latency leaves or, without
// one, the percentile of the service.
func (rd *reader) hedgeDelayOf() (time.Duration, bool) {
	if rd.route != nil {
		if delay, ok := rd.route.HedgeDelay(); ok {
			return delay, true
		}
	}
	return rd.svc.hedgeDelay.Delay()
}

// hedgeTimer fires when the response takes longer than the service's usual
// percentile.
func (rd *reader) hedgeTimer() (<-chan time.Time, func()) {
	if !rd.settings.Retry.Hedge || rd.maxAttempts() < 2 {
		return nil, func() {}
	}
	delay, ok := rd.hedgeDelayOf()
	if !ok {
		return nil, func() {}
	}
	t := time.NewTimer(delay)
	return t.C, func() { t.Stop() }
}
