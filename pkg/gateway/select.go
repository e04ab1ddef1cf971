package gateway

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

// pickServer selects a backend server. While none has capacity, it waits in the
// queue. The refusal is nil on success.
func (c *call) pickServer(ctx context.Context, exclude []*routing.Server) (server *routing.Server, refusal *result) {
	if c.svc.isEvacuated() {
		res := refuseEvacuated()
		return nil, &res
	}
	if len(c.svc.routingSet.Servers()) == 0 {
		res := notRunResult(http.StatusServiceUnavailable, reasonNoBackend, "the service has no backend servers").withRetryAfter()
		return nil, &res
	}
	if refusal := c.refuseDuringBackoff(exclude); refusal != nil {
		return nil, c.countRankRefusal(refusal)
	}
	c.queryLoads(ctx, exclude)
	if refusal := c.refuseWithoutPermit(exclude); refusal != nil {
		return nil, c.countRankRefusal(refusal)
	}
	return c.admit(ctx, exclude)
}

// refuseWithoutPermit returns a refusal if all backend servers lack a permit and none
// becomes usable within the time that a request may wait in the queue.
func (c *call) refuseWithoutPermit(exclude []*routing.Server) *result {
	if !c.svc.routingSet.NeedsPermit(exclude) {
		return nil
	}
	if c.svc.routingSet.EndWarmups(c.g.now()) && !c.svc.routingSet.NeedsPermit(exclude) {
		return nil
	}
	c.svc.permits.Request(c.svc.routingSet.PermitCandidates(), true)
	wait, expected := c.svc.permits.NextPermit()
	if expected && wait <= dynamic.MillisToDuration(c.settings.Queue.MaxWaitMS) {
		return nil
	}
	res := notRunResult(http.StatusServiceUnavailable, reasonRateLimited, "the rate limits that the backend servers state are reached").withRetryAfter()
	res.retryAfter = wait
	return &res
}

// admit selects a backend server that is not in exclude. While none has capacity, it
// waits in the queue.
func (c *call) admit(ctx context.Context, exclude []*routing.Server) (server *routing.Server, refusal *result) {
	if r, ok := c.ranked(); ok {
		return r.admitRanked(ctx, exclude)
	}
	err := c.svc.queue.Admit(ctx, func() bool {
		server = c.svc.routingSet.Pick(c.g.now(), exclude)
		return server != nil || c.svc.isEvacuated()
	})
	if server != nil {
		return server, nil
	}
	var res result
	switch {
	case err == nil:
		res = refuseEvacuated()
	case errors.Is(err, context.DeadlineExceeded):
		res = notRunResult(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed in the queue")
	case errors.Is(err, context.Canceled):
		res = result{outcome: audit.OutcomeAborted, run: audit.NotRun, reason: reasonCallerGone}
	default:
		res = notRunResult(http.StatusServiceUnavailable, reasonOverloaded, "all backend servers are busy: "+err.Error()).withRetryAfter()
	}
	return nil, &res
}
