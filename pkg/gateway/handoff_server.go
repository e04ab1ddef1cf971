package gateway

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"log"
	"net"
	"net/http"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/framing"
	"lentilpin/pkg/quarantine"
)

// maxHandoffAttempts bounds the attempts that an instance states to a peer, whatever the
// route allows: older builds refuse more.
const maxHandoffAttempts = 10

// NewHandoffServer returns the HTTP server for requests that peers hand on, on l.
func NewHandoffServer(g *Gateway, l net.Listener, limits static.Limits) *drain.Server {
	maxHeadBytes := limits.MaxHeaderBytes + headSlopBytes + handoffHeaderBytes
	s := drain.NewServer(&http.Server{
		Handler:           g.limits.refuseOverLimit(g, closeIfUncertain(http.HandlerFunc(g.serveHandedOn))),
		MaxHeaderBytes:    maxHeadBytes,
		ReadHeaderTimeout: dynamic.MillisToDuration(limits.HeaderReadMS),
		ReadTimeout:       dynamic.MillisToDuration(limits.HeaderReadMS + limits.BodyReadMS),
		IdleTimeout:       dynamic.MillisToDuration(limits.IdleMS),
		ErrorLog:          log.New(discardWriter{}, "", 0),
	}, framing.NewListener(l, framing.Limits{MaxHeadBytes: func() int { return maxHeadBytes }, Heads: g.limits.heads}))
	s.LimitConnections(limits.MaxHandoffConnections, g.callerMemory, static.ConnectionBytes)
	return s
}

// handoffHeaderBytes is the size of the fields that the first instance adds.
const handoffHeaderBytes = 4096

// serveHandedOn serves a request that a peer has resolved and does not hand it on again.
func (g *Gateway) serveHandedOn(w http.ResponseWriter, r *http.Request) {
	if !g.isPeer(r) {
		discardBody(w, r)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	c := &call{g: g, w: w, r: r, startTime: time.Now(), activeSnapshot: g.current.Load()}
	c.config = c.activeSnapshot.callers
	if c.id = r.Header.Get(c.config.requestID); c.id == "" {
		c.id = g.nextRequestID()
	}
	c.record = audit.Record{RequestID: c.id, Method: r.Method, Start: c.startTime, KeyState: keyStateNone, HandedOn: true}
	w.Header().Set(c.config.requestID, c.id)
	_ = http.NewResponseController(w).SetWriteDeadline(c.startTime.Add(refusalWriteTimeout))
	g.accepted.Inc(1)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer c.releaseBodyMemory()
	defer c.releaseResponse()
	res, ok := c.resolveHandedOn()
	if ok {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		if c.isIdempotent() {
			res = c.serveIdempotent(ctx)
		} else {
			orderCtx, cancelOrder := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
			defer cancelOrder()
			res = c.attemptNonIdempotent(orderCtx, nil)
		}
	}
	c.finishRequest(res)
}

// isPeer reports whether the request carries the peer secret. It compares digests in
// constant time.
func (g *Gateway) isPeer(r *http.Request) bool {
	got, want := sha256.Sum256([]byte(r.Header.Get(peerSecretHeader))), sha256.Sum256([]byte(g.options.PeerSecret))
	return g.options.PeerSecret != "" && subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// resolveHandedOn takes over what the peer has resolved and reads the body. It returns
// false and the refusal if the request cannot be served here.
func (c *call) resolveHandedOn() (result, bool) {
	if detail, isUncertain := framing.Error(c.r); isUncertain {
		return notRunResult(http.StatusBadRequest, reasonMalformed, detail), false
	}
	var h handoff
	err := json.Unmarshal([]byte(c.r.Header.Get(handoffHeader)), &h)
	if err != nil || h.MaxAttempts < 1 || h.MaxAttempts > maxHandoffAttempts || h.TimeoutMS < 1 || h.TimeoutMS > dynamic.MaxMillis ||
		h.AttemptTimeoutMS < 0 || h.AttemptTimeoutMS > dynamic.MaxMillis || h.TargetLatencyMS < 0 || h.TargetLatencyMS > dynamic.MaxMillis {
		return notRunResult(http.StatusBadRequest, reasonMalformed, "the peer's description of the request is invalid"), false
	}
	c.handoff = &h
	c.r.Header.Del(handoffHeader)
	c.r.Header.Del(peerSecretHeader)
	c.record.Service = h.Service
	if c.svc = c.activeSnapshot.byName[h.Service]; c.svc == nil {
		return notRunResult(http.StatusServiceUnavailable, reasonUnknownService, "the service is not known here"), false
	}
	if ready, reason := c.g.readiness(c.activeSnapshot); !ready {
		return notRunResult(http.StatusServiceUnavailable, reason, "this entry does not serve now"), false
	}
	if c.svc.reach.IsCut() {
		return refuseWhileCut(), false
	}
	c.settings = c.svc.settings.Load()
	c.deadline = c.startTime.Add(time.Duration(h.TimeoutMS) * time.Millisecond)
	if c.outlivesDrain() {
		return refuseInDrain(), false
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
	c.target = c.r.URL.RequestURI()
	if res, ok := c.readBody(); !ok {
		return res, false
	}
	c.fingerprint = quarantine.Fingerprint(c.r.Method, c.target, c.body)
	if c.isQuarantined(c.r.Context()) {
		return notRunResult(http.StatusServiceUnavailable, reasonQuarantined, "requests like this one crashed backend servers"), false
	}
	return result{}, true
}
