package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

// attempt is one try at one backend server.
type attempt struct {
	server  *routing.Server
	start   time.Time
	resp    *transport.Response
	fail    *transport.Failure
	cancel  context.CancelFunc
	seen    audit.Seen
	latency time.Duration // until the response header or the failure
	expired atomic.Bool   // its own timeout ended it, not the caller or a winner
}

// isNotRun reports whether the backend server is proven not to have run it.
func (a *attempt) isNotRun() bool {
	if a.fail != nil {
		return a.fail.NotRun
	}
	return a.resp.Signals.Shed
}

// pick selects a backend server and waits in the queue while none has
// capacity. The refusal is nil on success.
func (c *call) pick(ctx context.Context, exclude []*routing.Server) (server *routing.Server, refusal *result) {
	if len(c.svc.set.Servers()) == 0 {
		res := notRun(http.StatusServiceUnavailable, reasonNoBackend, "the service has no backend servers").retryLater()
		return nil, &res
	}
	c.consult(ctx, exclude)
	err := c.svc.queue.Admit(ctx, func() bool {
		server = c.svc.set.Pick(c.g.now(), exclude)
		return server != nil
	})
	if err == nil {
		return server, nil
	}
	var res result
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		res = notRun(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed in the queue")
	case errors.Is(err, context.Canceled):
		res = result{outcome: audit.Aborted, run: audit.NotRun, reason: reasonCallerGone}
	default:
		res = notRun(http.StatusServiceUnavailable, reasonOverloaded, "all backend servers are busy: "+err.Error()).retryLater()
	}
	return nil, &res
}

// send makes one attempt at a server that pick returned; timeout 0 leaves only
// the deadline of the request. The response header
// has arrived when it returns; the body is still to be read, and end must be
// called exactly once after that.
func (c *call) send(ctx context.Context, server *routing.Server, timeout time.Duration) *attempt {
	a := &attempt{server: server, start: time.Now(), seen: seen(c.g.now(), server)}
	ctx, cancel := context.WithCancelCause(ctx)
	a.cancel = func() { cancel(nil) }
	if timeout > 0 {
		// The timeout covers the wait for the header only: a long body may
		// take until the deadline of the request. The cause lets the pool
		// retire the idle connections, which may be silent too.
		timer := time.AfterFunc(timeout, func() {
			a.expired.Store(true)
			cancel(context.DeadlineExceeded)
		})
		defer timer.Stop()
	}
	a.resp, a.fail = c.svc.pool.Do(ctx, server.Address(), &transport.Request{
		Method:     c.r.Method,
		Target:     c.target,
		Host:       c.r.Host,
		Header:     c.r.Header,
		Body:       c.body,
		Idempotent: c.isRead(),
		Instance:   server.ID(),
	})
	a.latency = time.Since(a.start)
	if a.resp != nil {
		c.svc.observe(server, a.resp.Signals)
	}
	return a
}

// end gives the server's capacity back and lets limits and the outlier
// detector learn from the attempt.
func (c *call) end(a *attempt, o routing.Outcome) {
	a.cancel()
	c.svc.finish(a.server, a.latency, o)
	if c.route != nil && o == routing.Success {
		c.route.Usual.Observe(a.latency, a.seen.Slowdown)
	}
	if o == routing.Broken && !a.isNotRun() {
		c.svc.quarantine.Broken(c.g.now(), c.fingerprint, a.server.Address())
		c.verify(a.server)
	}
	if o == routing.Success || o == routing.ErrorResponse {
		c.svc.quarantine.Ran(c.g.now(), c.fingerprint)
	}
	if a.fail != nil {
		c.svc.noteDial(a.server, a.fail)
	}
	c.rec.Attempts = append(c.rec.Attempts, audit.Attempt{
		Backend:       a.server.Address(),
		FailureDomain: a.server.FailureDomain(),
		Offset:        a.start.Sub(c.started),
		Duration:      time.Since(a.start),
		Result:        resultOf(a, o),
		Seen:          a.seen,
	})
}

// verify asks a backend server that broke a connection whether it still accepts
// one. Without this, a crash would stay unnoticed until other work meets it.
func (c *call) verify(server *routing.Server) {
	done := make(chan struct{})
	c.verified = append(c.verified, done)
	c.g.background.Go(func() {
		defer close(done)
		c.svc.checkAlive(server)
		if c.svc.quarantine.Blocked(c.g.now(), c.fingerprint) {
			c.svc.notify()
		}
	})
}

// awaitVerified waits until it is known whether the backend servers that broke
// connections have crashed. An attempt beyond the second break must not crash
// one more before that.
func (c *call) awaitVerified(ctx context.Context) {
	if len(c.verified) < c.settings.Quarantine.Breaks {
		return
	}
	for _, done := range c.verified {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// resultOf words an attempt for the request record.
func resultOf(a *attempt, o routing.Outcome) string {
	if a.fail != nil {
		return a.fail.Kind.String()
	}
	return outcomeWords[o]
}

var outcomeWords = [...]string{
	routing.Success: "success", routing.ErrorResponse: "error_response", routing.Shed: "shed",
	routing.Broken: "broken", routing.Timeout: "timeout", routing.Canceled: "canceled",
}

// outcomeOf judges an attempt whose response header arrived or that failed.
func outcomeOf(a *attempt) routing.Outcome {
	switch {
	case a.fail == nil && a.resp.Signals.Shed:
		return routing.Shed
	case a.fail == nil && a.resp.Status >= http.StatusInternalServerError:
		return routing.ErrorResponse
	case a.fail == nil:
		return routing.Success
	case a.fail.Kind == transport.Timeout, a.expired.Load():
		return routing.Timeout
	case a.fail.Kind == transport.Canceled:
		return routing.Canceled
	default:
		return routing.Broken
	}
}
