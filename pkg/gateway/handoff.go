package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/transport"
)

// Names of header fields between instances. They concern one hop.
const (
	handoffHeader    = "Lentilpin-Handoff"
	peerSecretHeader = "Lentilpin-Peer-Secret"
	// refusalHeader names the reason for which a peer has refused a request that is not of
	// the most urgent rank, while more urgent ones may be served.
	// Peers of older builds do not send it.
	refusalHeader = "Lentilpin-Refusal"
)

const (
	// maxHandoffs is the number of peers that are asked to take one request.
	maxHandoffs = 3
	// minHandoffTime is the least time until the deadline at which a request is handed
	// to a peer.
	minHandoffTime = 10 * time.Millisecond
)

// PeerDirectory knows the peers that accept requests.
type PeerDirectory interface {
	// Acceptors returns the addresses at which peers accept requests of other
	// instances, in the order in which they are to be asked: at most n, without those
	// for which skip returns true.
	Acceptors(n int, skip func(address string) bool) []string
}

// handoff describes a request that an instance hands to a peer because it does not reach
// the backend servers itself. The first instance has resolved the request, so that its
// settings decide although the peer may have older ones.
type handoff struct {
	Service     string `json:"service"`
	Idempotent  bool   `json:"idempotent"`
	MaxAttempts int    `json:"maxAttempts"` // backend servers that may still receive the request
	TimeoutMS   int64  `json:"timeoutMs"`   // until the deadline of the caller
	// AttemptTimeoutMS is the time limit of one attempt if the route states one; 0: that
	// of the service.
	AttemptTimeoutMS int `json:"attemptTimeoutMs,omitempty"`
	// Priority and TargetLatencyMS are those of the route. Without a priority, as from an
	// older build, the request is admitted as without ranks.
	Priority        *int `json:"priority,omitempty"`
	TargetLatencyMS int  `json:"targetLatencyMs,omitempty"`
}

// handOn hands the request to peers, one after another, until one takes it. It returns
// false if none did: no backend server has received the request by it.
func (c *call) handOn(ctx context.Context) (result, bool) {
	if c.handoff != nil || c.g.options.Peers == nil {
		return result{}, false // at most one hop
	}
	peers := c.svc.peers
	for _, address := range c.g.options.Peers.Acceptors(maxHandoffs, func(a string) bool { return peers.isAvoided(c.g.now(), a) }) {
		if time.Until(c.deadline) < minHandoffTime || c.outlivesDrain() || ctx.Err() != nil || c.grant != nil && !c.grant.MayDispatch() {
			return result{}, false
		}
		if res, ok := c.handTo(ctx, address); ok {
			return res, true
		}
	}
	return result{}, false
}

// handTo hands the request to one peer. It returns false if the peer has refused it.
func (c *call) handTo(ctx context.Context, address string) (result, bool) {
	a := &attempt{start: time.Now()}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.resp, a.failure = c.svc.peers.pool.Do(ctx, address, &transport.Request{
		Method: c.r.Method, Target: c.target, Host: c.r.Host, Header: c.handoffHeader(), Body: c.body, Idempotent: c.isIdempotent(),
	})
	a.latency = time.Since(a.start)
	refused := a.isNotRun() || a.resp != nil && isPeerRefusal(a.resp)
	c.recordHandoff(a, address, refused)
	if refused && a.resp != nil {
		if res, ok := c.refusedByRank(a.resp); ok {
			return res, true
		}
	}
	if refused {
		c.svc.peers.avoid(c.g.now(), address)
		if a.resp != nil {
			_, _ = io.Copy(io.Discard, a.resp.Body) // keeps the connection; an error closes it
			_ = a.resp.Body.Close()
		}
		return result{}, false
	}
	c.svc.handoffCounter.Inc(1)
	if a.failure != nil {
		return c.handoffFailed(ctx, a), true
	}
	return c.sendHandoffResponse(a), true
}

// refusedByRank returns the refusal of a request that a peer has refused by its rank. The
// peer is not avoided, because it takes more urgent requests, and no other one is asked,
// because all decide by the same load.
func (c *call) refusedByRank(resp *transport.Response) (result, bool) {
	reason := resp.Header.Get(refusalHeader)
	r, ok := c.ranked()
	if !ok || reason != reasonOutranked && reason != reasonDisplaced && reason != reasonOverloaded {
		return result{}, false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // keeps the connection; an error closes it
	_ = resp.Body.Close()
	res := notRunResult(http.StatusServiceUnavailable, reason, "a peer leaves the free capacity to more urgent requests")
	return r.spreadRetryAfter(res, r.timing()), true
}

// isPeerRefusal reports whether a peer states that the request has not run, or has
// refused it before it was read as a request.
func isPeerRefusal(resp *transport.Response) bool {
	run := resp.Header.Get(runHeader)
	return run == string(audit.NotRun) || run == "" && resp.Status >= http.StatusBadRequest
}

// handoffHeader returns the header of the request to a peer.
func (c *call) handoffHeader() http.Header {
	described := handoff{
		Service: c.svc.name, Idempotent: c.isIdempotent(), MaxAttempts: min(max(1, c.maxAttempts()-c.reachedServers()), maxHandoffAttempts),
		TimeoutMS: time.Until(c.deadline).Milliseconds(), AttemptTimeoutMS: c.routeAttemptTimeoutMS(),
	}
	if c.route != nil {
		described.Priority, described.TargetLatencyMS = &c.route.Priority, c.route.TargetLatencyMS
	}
	text, err := json.Marshal(described)
	if err != nil {
		panic(err) // cannot happen: the struct has only strings and numbers
	}
	h := c.r.Header.Clone()
	h.Set(handoffHeader, string(text))
	h.Set(peerSecretHeader, c.g.options.PeerSecret)
	if c.grant != nil {
		h.Del(idempotencyKeyHeader) // this instance has claimed the key
	}
	return h
}

// reachedServers returns the number of backend servers that may have received the
// request.
func (c *call) reachedServers() (n int) {
	for _, a := range c.record.Attempts {
		switch a.Result {
		case transport.Dial.String(), transport.Withdrawn.String(), handoffRefused:
		default:
			n++
		}
	}
	return n
}

func (c *call) recordHandoff(a *attempt, address string, refused bool) {
	text := handedOn
	if refused {
		text = handoffRefused
	}
	c.record.Attempts = append(c.record.Attempts, audit.Attempt{
		Backend: address, Offset: a.start.Sub(c.startTime), Duration: a.latency, Result: text,
	})
}

// Results of attempts at peers in the request record.
const (
	handedOn       = "handed_on"
	handoffRefused = "peer_refused"
)

// handoffFailed returns the result of a request whose peer did not respond.
func (c *call) handoffFailed(ctx context.Context, a *attempt) result {
	switch {
	case c.r.Context().Err() != nil && c.isIdempotent():
		return result{outcome: audit.OutcomeAborted, run: audit.Unknown, reason: reasonCallerGone}
	case a.failure.Kind == transport.Timeout || ctx.Err() != nil:
		return unknownResult(http.StatusGatewayTimeout, reasonDeadline, "no response before the deadline; the work may have run")
	}
	return unknownResult(http.StatusBadGateway, reasonBackendLost, "the connection to a peer broke after the request was sent; the work may have run")
}

// sendHandoffResponse sends the response of a peer to the caller.
func (c *call) sendHandoffResponse(a *attempt) result {
	run := audit.Run(a.resp.Header.Get(runHeader))
	a.resp.Header.Del(runHeader)
	if run != audit.Ran && run != audit.Unknown { // a peer that has not run it has refused it
		_ = a.resp.Body.Close()
		return unknownResult(http.StatusBadGateway, reasonAttemptsFailed, "the response of the peer does not say whether the request ran")
	}
	prefix, complete, err := c.prefetch(a)
	if err != nil {
		_ = a.resp.Body.Close()
		return unknownResult(http.StatusBadGateway, reasonAttemptsFailed, "the peer cut its response short")
	}
	c.writeResponseHeader(a, run)
	res, _ := c.streamBody(a, prefix, complete, nil)
	res.run = run
	return res
}

// refuseWhileCut is the refusal of a request that neither this instance nor a peer can
// serve.
func refuseWhileCut() result {
	return notRunResult(http.StatusServiceUnavailable, reasonUnreachable, "no backend server of the service is reached").withRetryAfter()
}

// hasFailedToConnect reports whether an attempt of the request found no connection. Other
// requests may be served on connections that were open before a cut.
func (c *call) hasFailedToConnect() bool {
	return slices.ContainsFunc(c.record.Attempts, func(a audit.Attempt) bool { return a.Result == transport.Dial.String() })
}

// handOnOrRefuse hands the request to a peer, or refuses it at once if none takes it.
func (c *call) handOnOrRefuse(ctx context.Context) result {
	if res, ok := c.handOn(ctx); ok {
		return res
	}
	return refuseWhileCut()
}

// lastResort hands the request to a peer if res says that it has not run, and backend
// servers could not be reached by it or lately. Otherwise it returns res.
func (c *call) lastResort(ctx context.Context, res result) result {
	if res.run != audit.NotRun || res.reason == reasonEvacuated || !c.svc.reach.HasFailures() && !c.hasFailedToConnect() {
		return res
	}
	if c.reachedServers() > 0 && !c.svc.retryBudget.TakeRetry(c.g.now()) {
		return res // the attempt of a peer would be a retry
	}
	if handed, ok := c.handOn(ctx); ok {
		return handed
	}
	return res
}
