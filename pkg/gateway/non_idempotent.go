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

// Interval between two claims of a key while another request with the same key
// is in progress. It doubles from the initial to the maximum value.
const (
	initialClaimPollInterval = 5 * time.Millisecond
	maxClaimPollInterval     = 200 * time.Millisecond
)

// serveNonIdempotent serves a non-idempotent request. Once the key is granted,
// the request continues when the caller disconnects: the backend server may
// already be running it, and the caller can request the result with the same
// key.
func (c *call) serveNonIdempotent(callerCtx context.Context) result {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(callerCtx), c.deadline)
	defer cancel()
	key := c.r.Header.Get(idempotencyKeyHeader)
	if !c.settings.RequireKey && !ledger.HasKeyForm(key) {
		key = "" // it means something to the backend servers only, if at all
	}
	if key == "" {
		if c.settings.RequireKey {
			return notRunResult(http.StatusPreconditionRequired, reasonKeyRequired, "send the request again with the key in "+keyHeader)
		}
		return c.attemptNonIdempotent(ctx, nil)
	}
	claim := c.claim(callerCtx, key)
	switch {
	case claim.State == ledger.StateGranted:
		c.record.KeyState = keyStateSpent
		return c.attemptNonIdempotent(ctx, claim)
	case claim.State == ledger.StateRan && claim.Answer.GetWhole():
		return c.sendReplay(claim.Answer)
	default:
		return refuseClaim(claim.State)
	}
}

// claim claims the key at its owner. While another request with the key is in
// progress it claims again, so that a caller that repeats its request gets the
// response to the first one.
func (c *call) claim(ctx context.Context, key string) *ledger.Claim {
	fingerprint := ledger.Fingerprint(c.r.Method, c.target, c.r.Header.Get("Authorization"), c.body)
	interval := initialClaimPollInterval
	for {
		claim := c.g.claimant.Claim(ctx, key, fingerprint, c.id, c.settings.Keys)
		if claim.State != ledger.StateInProgress {
			return &claim
		}
		select {
		case <-ctx.Done():
			return &claim
		case <-time.After(interval):
			interval = min(2*interval, maxClaimPollInterval)
		}
	}
}

// claimRefusal is the status and the problem detail of a claim that was not
// granted.
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

var auditRuns = map[peerpb.Run]audit.Run{
	peerpb.Run_RUN_RAN: audit.Ran, peerpb.Run_RUN_NOT_RUN: audit.NotRun, peerpb.Run_RUN_UNKNOWN: audit.Unknown,
}

func refuseClaim(state ledger.State) result {
	refusal := claimRefusals[state]
	res := result{
		run: auditRuns[state.Run()], reason: state.Reason(), keyState: state.KeyState(),
		status: refusal.status, detail: refusal.detail,
	}
	res.outcome = audit.Outcome(res.run)
	if refusal.status == http.StatusServiceUnavailable {
		res.sendRetryAfter = true
	}
	return res
}

// attemptNonIdempotent sends the request to one backend server after another
// until one may have run it. claim is nil for a request without a key.
func (c *call) attemptNonIdempotent(ctx context.Context, claim *ledger.Claim) result {
	c.grant = claim
	if c.svc.reach.IsCut() {
		return c.settleWith(claim, c.handOnOrRefuse(ctx))
	}
	var tried []*routing.Server
	c.svc.recordFirstAttempt()
	isRetry := false
	for sent := 0; sent < c.maxAttempts(); {
		if isRetry && !c.svc.retryBudget.TakeRetry(c.g.now()) {
			break
		}
		server, refusal := c.pickServer(ctx, tried)
		if refusal != nil {
			return c.settleWith(claim, c.lastResort(ctx, *refusal))
		}
		if claim != nil && !claim.MayDispatch() {
			c.svc.finishAttempt(server, 0, routing.Canceled)
			c.settleClaim(claim, peerpb.Run_RUN_NOT_RUN, nil)
			return notRunResult(http.StatusServiceUnavailable, reasonGrantExpired, "the grant of the key passed before a backend server was free")
		}
		if c.outlivesDrain() {
			c.svc.finishAttempt(server, 0, routing.Canceled)
			return c.settleWith(claim, refuseInDrain())
		}
		a := c.sendAttempt(ctx, server, 0)
		if !a.isNotRun() {
			return c.concludeNonIdempotent(ctx, a, claim)
		}
		if a.resp != nil {
			_ = a.resp.Body.Close()
		}
		c.endAttempt(a, classifyAttempt(a))
		if c.svc.quarantine.IsSuspect(c.g.now(), c.fingerprint) {
			return c.settleWith(claim, notRunResult(http.StatusServiceUnavailable, reasonQuarantined, "requests like this one crashed backend servers"))
		}
		tried = append(tried, server)
		if isRetry = !a.isWithdrawn(); isRetry {
			sent++
		}
	}
	refusal := notRunResult(http.StatusServiceUnavailable, reasonOverloaded, "every backend server that was asked refused before running").withRetryAfter()
	if r, ok := c.ranked(); ok {
		refusal = r.spreadRetryAfter(refusal, r.timing())
	}
	return c.settleWith(claim, c.lastResort(ctx, refusal))
}

// settleWith settles a claim by the run of a result that came from a peer or is a
// refusal, and returns the result. The response itself is not kept for a replay.
func (c *call) settleWith(claim *ledger.Claim, res result) result {
	run := peerpb.Run_RUN_UNKNOWN
	switch res.run {
	case audit.NotRun:
		run = peerpb.Run_RUN_NOT_RUN
	case audit.Ran:
		run = peerpb.Run_RUN_RAN
	case audit.Unknown:
	}
	c.settleClaim(claim, run, nil)
	return res
}

// concludeNonIdempotent handles the attempt that ran or may have run the
// request.
func (c *call) concludeNonIdempotent(ctx context.Context, a *attempt, claim *ledger.Claim) result {
	if a.failure != nil {
		c.endAttempt(a, classifyAttempt(a))
		c.settleClaim(claim, peerpb.Run_RUN_UNKNOWN, nil)
		if a.failure.Kind == transport.Timeout || ctx.Err() != nil {
			return unknownResult(http.StatusGatewayTimeout, reasonDeadline, "no response before the deadline; the work may have run")
		}
		return unknownResult(http.StatusBadGateway, reasonBackendLost, "the connection broke after the request was sent; the work may have run")
	}
	run, settled := audit.Ran, peerpb.Run_RUN_RAN
	if mayComeFromIntermediary(a.resp.Status) {
		run, settled = audit.Unknown, peerpb.Run_RUN_UNKNOWN
	}
	c.writeResponseHeader(a, run)
	replay := &replayBuffer{limit: c.settings.Keys.ReplayMaxBytes}
	res, o := c.streamBody(a, nil, false, replay)
	c.endAttempt(a, o)
	res.run = run
	c.settleClaim(claim, settled, replay.answer(a.resp.Status, a.resp.Header.Get("Content-Type")))
	return res
}

// mayComeFromIntermediary reports whether the status may come from an
// intermediary between the gateway and the backend server. Such a status does
// not tell whether the request ran.
func mayComeFromIntermediary(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// settleClaim reports the result to the owner of the key in the background. The
// caller does not wait for it, but a graceful shutdown does.
func (c *call) settleClaim(claim *ledger.Claim, run peerpb.Run, answer *peerpb.Answer) {
	if claim == nil {
		return
	}
	c.g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		c.g.claimant.Settle(ctx, claim, run, answer)
	})
}
