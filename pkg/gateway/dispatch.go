package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

// attempt is one attempt at one backend server.
type attempt struct {
	server      *routing.Server
	start       time.Time
	resp        *transport.Response
	failure     *transport.Failure
	cancel      context.CancelFunc
	serverState audit.BackendState
	latency     time.Duration // until the response header or the failure
	timedOut    atomic.Bool   // ended by its own timeout, not by the caller or a faster attempt
}

// isNotRun reports whether the backend server is proven not to have run the
// request.
func (a *attempt) isNotRun() bool {
	if a.failure != nil {
		return a.failure.NotRun
	}
	return a.resp.Signals.Shed
}

// sendAttempt makes one attempt at a server that pickServer returned. With
// timeout 0 only the deadline of the request applies. It returns after the
// response header has arrived or the attempt has failed. The body is still to
// be read; after that endAttempt must be called exactly once.
func (c *call) sendAttempt(ctx context.Context, server *routing.Server, timeout time.Duration) *attempt {
	a := &attempt{server: server, start: time.Now(), serverState: serverState(c.g.now(), server)}
	assignedAt := c.g.now()
	ctx, cancel := context.WithCancelCause(ctx)
	a.cancel = func() { cancel(nil) }
	if timeout > 0 {
		// The timeout covers only the wait for the header: a long body may take
		// until the deadline of the request. The cause lets the pool close the
		// idle connections, which may be unresponsive too.
		timer := time.AfterFunc(timeout, func() {
			a.timedOut.Store(true)
			cancel(context.DeadlineExceeded)
		})
		defer timer.Stop()
	}
	a.resp, a.failure = c.svc.pool.Do(ctx, server.Address(), &transport.Request{
		Method:           c.r.Method,
		Target:           c.target,
		Host:             c.r.Host,
		Header:           c.r.Header,
		Body:             c.body,
		Idempotent:       c.isIdempotent(),
		ExpectedInstance: server.ID(),
		MayStart:         func() bool { return c.mayStart(server, assignedAt) },
	})
	a.latency = time.Since(a.start)
	c.svc.observeReach(server, a.failure, false)
	if a.resp != nil {
		c.svc.observeSignals(server, a.resp.Signals, sourceResponse)
	}
	return a
}

// isWithdrawn reports whether the request was not sent, because the backend server
// began to leave while the request waited for a connection.
func (a *attempt) isWithdrawn() bool {
	return a.failure != nil && a.failure.Kind == transport.Withdrawn
}

// endAttempt releases the server's capacity and passes the result of the
// attempt to the limits, the outlier detector, the quarantine list and the
// request record.
func (c *call) endAttempt(a *attempt, o routing.Outcome) {
	a.cancel()
	c.svc.finishAttempt(a.server, a.latency, o)
	if c.route != nil && o == routing.Success {
		c.route.BaselineLatency.Observe(a.latency, a.serverState.Slowdown)
	}
	if o == routing.Broken && !a.isNotRun() {
		c.svc.quarantine.Broken(c.g.now(), c.fingerprint, a.server.Address())
		c.startCrashCheck(a.server)
	}
	if o == routing.Success {
		// An error response does not prove it: a backend server in trouble may fail a
		// request before it begins to run it.
		c.svc.quarantine.Ran(c.g.now(), c.fingerprint)
	}
	c.svc.spreadQuarantineNews()
	if a.failure != nil {
		c.svc.recordDialFailure(a.server, a.failure)
	}
	c.record.Attempts = append(c.record.Attempts, audit.Attempt{
		Backend:       a.server.Address(),
		FailureDomain: a.server.FailureDomain(),
		Offset:        a.start.Sub(c.startTime),
		Duration:      time.Since(a.start),
		Result:        attemptResult(a, o),
		BackendState:  a.serverState,
	})
}

// attemptResult returns the result of an attempt as text for the request
// record.
func attemptResult(a *attempt, o routing.Outcome) string {
	if a.failure != nil {
		return a.failure.Kind.String()
	}
	return outcomeNames[o]
}

var outcomeNames = [...]string{
	routing.Success: "success", routing.ErrorResponse: "error_response", routing.Shed: "shed",
	routing.Broken: "broken", routing.Timeout: "timeout", routing.Canceled: "canceled",
}

// classifyAttempt returns the outcome of an attempt that has received its
// response header or has failed.
func classifyAttempt(a *attempt) routing.Outcome {
	switch {
	case a.failure == nil && a.resp.Signals.Shed:
		return routing.Shed
	case a.failure == nil && a.resp.Status >= http.StatusInternalServerError:
		return routing.ErrorResponse
	case a.failure == nil:
		return routing.Success
	case a.failure.Kind == transport.Timeout, a.timedOut.Load() && !a.isWithdrawn():
		return routing.Timeout
	case a.failure.Kind == transport.Canceled, a.isWithdrawn():
		return routing.Canceled
	default:
		return routing.Broken
	}
}
