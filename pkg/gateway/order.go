package gateway

import (
	"context"
	"net/http"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

// Waits between two questions for the result of a request that is still under
// way with the same key.
const (
	firstProgressWait = 5 * time.Millisecond
	maxProgressWait   = 200 * time.Millisecond
)

// order serves a non-idempotent request. Once the key is granted, the request
// goes on when the caller disconnects: the work may have begun, and the caller
// can ask for its result with the same key.
func (c *call) order(callerCtx context.Context) result {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(callerCtx), c.deadline)
	defer cancel()
	key := c.r.Header.Get(headerIdempotencyKey)
	if key == "" {
		if c.settings.RequireKey {
			return notRun(http.StatusPreconditionRequired, reasonKeyRequired, "send the request again with the key in "+headerKey)
		}
		return c.orderAttempts(ctx, nil)
	}
	claim := c.claim(callerCtx, key)
	switch {
	case claim.State == ledger.StateGranted:
		c.rec.KeyState = keySpent
		return c.orderAttempts(ctx, claim)
	case claim.State == ledger.StateRan && claim.Answer.GetWhole():
		return c.replay(claim.Answer)
	default:
		return refuseClaim(claim.State)
	}
}

// claim asks the owner of the key. While another request with the key is under
// way it asks again, so that a caller that repeats its request gets the
// response of the first one.
func (c *call) claim(ctx context.Context, key string) *ledger.Claim {
	fingerprint := ledger.Fingerprint(c.r.Method, c.target, c.r.Header.Get("Authorization"), c.body)
	wait := firstProgressWait
	for {
		claim := c.g.claimant.Claim(ctx, key, fingerprint, c.id, c.settings.Keys)
		if claim.State != ledger.StateInProgress {
			return &claim
		}
		select {
		case <-ctx.Done():
			return &claim
		case <-time.After(wait):
			wait = min(2*wait, maxProgressWait)
		}
	}
}

// claimRefusal is how a claim that was not granted is worded for the caller.
type claimRefusal struct {
	status int
	detail string
}

var claimRefusals = map[ledger.State]claimRefusal{
	ledger.StateUnknown:     {http.StatusConflict, "the first run with this key did not report its result"},
	ledger.StateInProgress:  {http.StatusConflict, "a request with this key is under way"},
	ledger.StateRan:         {http.StatusConflict, "it ran; the response was not kept"},
	ledger.StateNotRun:      {http.StatusConflict, "a request with this key was refused before it ran"},
	ledger.StateNotIssued:   {http.StatusUnprocessableEntity, "the key was not issued by this system"},
	ledger.StateReused:      {http.StatusUnprocessableEntity, "the key belongs to another request"},
	ledger.StateExpired:     {http.StatusConflict, "the key is older than its lifetime"},
	ledger.StateUnreachable: {http.StatusServiceUnavailable, "the entry that issued the key did not reply in time"},
	ledger.StateOwnerGone:   {http.StatusConflict, "the entry that issued the key is gone"},
	ledger.StateSealed:      {http.StatusServiceUnavailable, "the entry that issued the key is shutting down"},
	ledger.StateFull:        {http.StatusServiceUnavailable, "the entry that issued the key has no room for it"},
}

var runs = map[peerpb.Run]audit.Run{
	peerpb.Run_RUN_RAN: audit.Ran, peerpb.Run_RUN_NOT_RUN: audit.NotRun, peerpb.Run_RUN_UNKNOWN: audit.Unknown,
}

func refuseClaim(state ledger.State) result {
	text := claimRefusals[state]
	res := result{
		run: runs[state.Run()], reason: state.Reason(), keyState: state.KeyState(),
		status: text.status, detail: text.detail,
	}
	res.outcome = audit.Outcome(res.run)
	if text.status == http.StatusServiceUnavailable {
		res.retry = true
	}
	return res
}

// orderAttempts sends the request to one backend server after another until
// one may have run it. claim is nil for a request without a key.
func (c *call) orderAttempts(ctx context.Context, claim *ledger.Claim) result {
	var tried []*routing.Server
	c.svc.retries.Request(c.g.now())
	for i := range c.maxAttempts() {
		if i > 0 && !c.svc.retries.Take(c.g.now()) {
			break
		}
		server, refusal := c.pick(ctx, tried)
		if refusal != nil {
			c.settle(claim, peerpb.Run_RUN_NOT_RUN, nil)
			return *refusal
		}
		if claim != nil && !claim.MayDispatch() {
			c.svc.finish(server, 0, routing.Canceled)
			c.settle(claim, peerpb.Run_RUN_NOT_RUN, nil)
			return notRun(http.StatusServiceUnavailable, reasonGrantExpired, "the grant of the key passed before a backend server was free")
		}
		a := c.send(ctx, server, 0)
		if !a.isNotRun() {
			return c.concludeOrder(ctx, a, claim)
		}
		if a.resp != nil {
			_ = a.resp.Body.Close()
		}
		c.end(a, outcomeOf(a))
		tried = append(tried, server)
	}
	c.settle(claim, peerpb.Run_RUN_NOT_RUN, nil)
	return notRun(http.StatusServiceUnavailable, reasonOverloaded, "every backend server that was asked refused before running").retryLater()
}

// concludeOrder handles the attempt that ran or may have run.
func (c *call) concludeOrder(ctx context.Context, a *attempt, claim *ledger.Claim) result {
	if a.fail != nil {
		c.end(a, outcomeOf(a))
		c.settle(claim, peerpb.Run_RUN_UNKNOWN, nil)
		if a.fail.Kind == transport.Timeout || ctx.Err() != nil {
			return unknown(http.StatusGatewayTimeout, reasonDeadline, "no response before the deadline; the work may have run")
		}
		return unknown(http.StatusBadGateway, reasonBackendLost, "the connection broke after the request was sent; the work may have run")
	}
	run, settled := audit.Ran, peerpb.Run_RUN_RAN
	if isUnproven(a.resp.Status) {
		run, settled = audit.Unknown, peerpb.Run_RUN_UNKNOWN
	}
	c.writeHeader(a, run)
	keep := &bounded{limit: c.settings.Keys.ReplayMaxBytes}
	res, o := c.stream(a, nil, false, keep)
	c.end(a, o)
	res.run = run
	c.settle(claim, settled, keep.answer(a.resp.Status, a.resp.Header.Get("Content-Type")))
	return res
}

// isUnproven reports whether the status may come from something that stood
// between the entry and the work, so that it says nothing about the run.
func isUnproven(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// settle reports the result to the key's owner in the background: the caller
// need not wait for it, and a graceful shutdown does.
func (c *call) settle(claim *ledger.Claim, run peerpb.Run, answer *peerpb.Answer) {
	if claim == nil {
		return
	}
	c.g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		c.g.claimant.Settle(ctx, claim, run, answer)
	})
}
