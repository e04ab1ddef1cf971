package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/route"
)

const (
	// writeGrace is given to the caller after its deadline to take a response.
	writeGrace = time.Second
	// refusalWriteTime bounds the response to a request without a deadline.
	refusalWriteTime = 10 * time.Second
)

// call is one request of a caller on its way through the gateway.
type call struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	id          string
	started     time.Time
	svc         *service
	inForce     *snapshot // settings when the request came
	rules       *callerRules
	route       *route.Route     // nil: the first path segment named the service
	settings    *dynamic.Service // one snapshot for the whole request
	deadline    time.Time
	target      string // path and query as sent to the backend server
	body        []byte
	fingerprint uint64 // for the quarantine list
	rec         audit.Record
	verified    []chan struct{} // checks of backend servers that broke connections
}

// serve takes one request from acceptance to its only outcome.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, started: time.Now(), inForce: g.current.Load()}
	c.rules = c.inForce.callers
	given := c.identify()
	c.rec = audit.Record{RequestID: c.id, Method: r.Method, Start: c.started, KeyState: keyNone}
	if r.Header.Get(headerIdempotencyKey) != "" {
		c.rec.KeyState = keyOpen
	}
	w.Header().Set(c.rules.requestID, c.id)
	// net/http keeps the deadline of the former request on this connection.
	_ = http.NewResponseController(w).SetWriteDeadline(c.started.Add(refusalWriteTime))
	g.accepted.Inc(1)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)

	var res result
	ok := false
	if c.rules.RequireRequestID && !given {
		res = c.refuseUnclaimed(http.StatusBadRequest, reasonIDRequired, "the request needs one identifier in "+c.rules.requestID)
	} else {
		res, ok = c.resolve()
	}
	if ok {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		if c.isRead() {
			res = c.read(ctx)
		} else {
			res = c.order(ctx)
		}
	}
	c.finish(res)
}

// finish answers a refusal, records the outcome and breaks the caller's
// connection where a response could not be passed on whole.
func (c *call) finish(res result) {
	if res.keyState == "" {
		res.keyState = c.rec.KeyState
	}
	if res.reason != "" && res.outcome != audit.Aborted && res.outcome != audit.Answered {
		c.offerKey()
		c.w.Header().Set(headerRun, string(res.run))
		writeProblem(c.w, c.rules, c.id, res)
	}
	c.rec.Outcome, c.rec.Run, c.rec.Reason = res.outcome, res.run, res.reason
	c.rec.Status, c.rec.KeyState = res.status, res.keyState
	c.rec.Duration = time.Since(c.started)
	c.g.log.Request(c.rec)
	c.tell()
	c.reportLoss(res)
	c.g.count(c.svc, res, c.rec.Duration)
	if res.outcome == audit.Aborted && res.reason == reasonResponseCut {
		// net/http closes the connection without ending the response, which
		// is the only way left to tell the caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
}

// reportLoss logs a non-idempotent request whose caller did not learn how it
// ended.
func (c *call) reportLoss(res result) {
	var e *events.Event
	switch {
	case c.settings == nil || c.isRead():
		return
	case res.run == audit.Unknown:
		e = EventUnknown
	case res.run == audit.Ran && res.outcome == audit.Aborted:
		e = EventUndelivered
	default:
		return
	}
	backend := ""
	if n := len(c.rec.Attempts); n > 0 {
		backend = c.rec.Attempts[n-1].Backend
	}
	c.g.o.Recorder.Record(e, events.F("request_id", c.id), events.F("service", c.rec.Service),
		events.F("reason", res.reason), events.F("key_state", res.keyState), events.F("backend", backend))
}

// offerKey puts a fresh key on the response of a request that may be followed
// by a non-idempotent one.
func (c *call) offerKey() {
	if c.settings != nil && !c.settings.RequireKey {
		return
	}
	lifetime := defaultKeyLifetime
	if c.settings != nil {
		lifetime = dynamic.MS(c.settings.Keys.LifetimeMS)
	}
	c.w.Header().Set(headerKey, c.g.owner.Issue(lifetime))
}

// identify gives the request its identifier: the caller's, where the callers'
// identifiers are also those of the backend servers, else one of its own. It
// reports whether the caller gave exactly one.
func (c *call) identify() bool {
	values := c.r.Header[c.rules.requestID]
	given := len(values) == 1 && isIdentifier(values[0])
	if given && c.rules.RequireRequestID {
		c.id = values[0]
	} else {
		c.id = c.g.nextID()
	}
	return given
}

// maxIdentifierBytes bounds an identifier given by a caller.
const maxIdentifierBytes = 128

func isIdentifier(s string) bool {
	if s == "" || len(s) > maxIdentifierBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// announce adds what the backend server should know of the caller and of this
// request, before the first attempt reads the header.
func (c *call) announce() {
	h := c.r.Header
	h.Set(c.rules.requestID, c.id)
	address, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return
	}
	if before := h.Get(headerForwardedFor); before != "" {
		address = before + ", " + address
	}
	h.Set(headerForwardedFor, address)
}

// maxAttempts is the number of backend servers that the request may be sent to.
func (c *call) maxAttempts() int {
	if c.route != nil && c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts
	}
	return c.settings.Retry.MaxAttempts
}

// refuseUnclaimed refuses a request before its key was claimed. Without a key
// nothing ran; with one, an earlier request with that key may have run, which
// only the key's owner knows.
func (c *call) refuseUnclaimed(status int, reason, detail string) result {
	if c.rec.KeyState != keyNone && !c.isRead() {
		return unknown(status, reason, detail)
	}
	return notRun(status, reason, detail)
}

// isRead reports whether the request is idempotent.
func (c *call) isRead() bool {
	if c.route != nil {
		return c.route.Idempotent
	}
	return c.settings != nil && c.settings.IsIdempotent(c.r.Method)
}
