package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/route"
)

const (
	// writeGrace is the time after the deadline that the caller has to read the
	// response.
	writeGrace = time.Second
	// refusalWriteTimeout bounds the write of the response to a request that
	// has no deadline yet.
	refusalWriteTimeout = 10 * time.Second
)

// call is the state of one request of a caller.
type call struct {
	g              *Gateway
	w              http.ResponseWriter
	r              *http.Request
	id             string
	startTime      time.Time
	svc            *service
	activeSnapshot *snapshot // in force when the request arrived; renewed while waitUntilReady waits
	config         *callerConfig
	route          *route.Route     // nil if the first path segment selects the service
	settings       *dynamic.Service // of the service, unchanged during the request
	deadline       time.Time
	statedTimeout  time.Duration // how long the caller waits by its own statement; 0: not stated
	target         string        // path and query as sent to the backend server
	body           []byte
	bodyMemory     int64           // taken from the gateway's memory for bodies
	receiver       *limit.Receiver // of the body; nil: it needs no memory
	isBodyRead     bool            // or its connection is closed after the response
	sending        *sending        // memory of the response; nil: none was needed
	markWhole      func()          // states that the body, which ends with its connection, was written completely; nil: it does not end so
	fingerprint    uint64          // for the quarantine list
	record         audit.Record
	grant          *ledger.Claim   // of the request's key; nil: it has none
	handoff        *handoff        // set if a peer has handed the request to this instance
	crashChecks    []chan struct{} // closed when the health check after a broken connection has ended
}

// serve handles one request from acceptance to its outcome.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, startTime: time.Now(), activeSnapshot: g.current.Load()}
	c.config = c.activeSnapshot.callers
	idGiven := c.assignID()
	c.record = audit.Record{RequestID: c.id, Method: r.Method, Start: c.startTime, KeyState: keyStateNone}
	if ledger.HasKeyForm(r.Header.Get(idempotencyKeyHeader)) {
		c.record.KeyState = keyStateOpen
	}
	w.Header().Set(c.config.requestID, c.id)
	// net/http keeps the deadline of the previous request on this connection.
	_ = http.NewResponseController(w).SetWriteDeadline(c.startTime.Add(refusalWriteTimeout))
	g.accepted.Inc(1)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer c.releaseBodyMemory()
	defer c.releaseResponse()

	var res result
	ok := false
	if c.config.RequireRequestID && !idGiven {
		res = c.refuseBeforeClaim(http.StatusBadRequest, reasonIDRequired, "the request needs one identifier in "+c.config.requestID)
	} else {
		res, ok = c.resolve()
	}
	if ok {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		if c.isIdempotent() {
			res = c.serveIdempotent(ctx)
		} else {
			res = c.serveNonIdempotent(ctx)
		}
	}
	c.finishRequest(res)
}

// finishRequest sends the refusal, if any, and records the outcome. It aborts
// the caller's connection if the response could not be sent completely.
func (c *call) finishRequest(res result) {
	if res.keyState == "" {
		res.keyState = c.record.KeyState
	}
	if !c.isBodyRead {
		discardBody(c.w, c.r)
	}
	if res.reason != "" && res.outcome != audit.OutcomeAborted && res.outcome != audit.OutcomeAnswered {
		c.setNewKeyHeader()
		c.announceDrain()
		c.w.Header().Set(runHeader, string(res.run))
		if c.handoff != nil && c.record.Admission != nil && c.record.Admission.Rank > 0 && res.exactRetryAfter {
			c.w.Header().Set(refusalHeader, res.reason)
		}
		writeProblem(c.w, c.config, c.id, res)
	}
	if res.outcome == audit.OutcomeAborted && res.status == 0 {
		c.answerGoneCaller(res)
	}
	c.limitWrite() // net/http sends the rest of the response later
	c.record.Outcome, c.record.Run, c.record.Reason = res.outcome, res.run, res.reason
	c.record.Status, c.record.KeyState = res.status, res.keyState
	c.record.Duration = time.Since(c.startTime)
	c.g.auditLog.AddRequest(c.record)
	c.logRequest()
	c.reportLostOutcome(res)
	if !c.record.HandedOn {
		c.g.countOutcome(c.svc, res, c.record.Duration)
	}
	if res.outcome == audit.OutcomeAborted && res.status != 0 {
		// net/http closes the connection without ending the response. This is
		// the only way left to signal to the caller that the response is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
}

// answerGoneCaller responds to a caller that is taken for gone before a response has
// begun. It may have closed only its sending side, and net/http would send an empty 200.
func (c *call) answerGoneCaller(res result) {
	res.status, res.detail = http.StatusBadGateway, "the caller has closed its side of the connection"
	if res.run == audit.NotRun {
		res.status = http.StatusServiceUnavailable
	}
	c.w.Header().Set("Connection", "close")
	c.w.Header().Set(runHeader, string(res.run))
	writeProblem(c.w, c.config, c.id, res)
}

// reportLostOutcome logs a non-idempotent request whose caller did not learn
// the outcome.
func (c *call) reportLostOutcome(res result) {
	var e *events.Event
	switch {
	case c.settings == nil || c.isIdempotent():
		return
	case res.run == audit.Unknown:
		e = EventOutcomeUnknown
	case res.run == audit.Ran && res.outcome == audit.OutcomeAborted:
		e = EventResponseUndelivered
	default:
		return
	}
	backend := ""
	if n := len(c.record.Attempts); n > 0 {
		backend = c.record.Attempts[n-1].Backend
	}
	c.g.options.Recorder.Record(e, events.F("request_id", c.id), events.F("service", c.record.Service),
		events.F("reason", res.reason), events.F("key_state", res.keyState), events.F("backend", backend))
}

// setNewKeyHeader adds a new idempotency key to the response if the service
// requires keys or is not known, because a non-idempotent request may follow.
func (c *call) setNewKeyHeader() {
	if c.settings != nil && !c.settings.RequireKey {
		return
	}
	lifetime := defaultKeyLifetime
	if c.settings != nil {
		lifetime = dynamic.MillisToDuration(c.settings.Keys.LifetimeMS)
	}
	c.w.Header().Set(keyHeader, c.g.owner.Issue(lifetime))
}

// assignID sets the ID of the request: the ID given by the caller if request
// IDs are required, otherwise a generated one. It reports whether the caller
// gave exactly one valid ID.
func (c *call) assignID() bool {
	values := c.r.Header[c.config.requestID]
	idGiven := len(values) == 1 && isValidRequestID(values[0])
	if idGiven && c.config.RequireRequestID {
		c.id = values[0]
	} else {
		c.id = c.g.nextRequestID()
	}
	return idGiven
}

// maxRequestIDBytes is the maximum length of a request ID given by a caller.
const maxRequestIDBytes = 128

func isValidRequestID(s string) bool {
	if s == "" || len(s) > maxRequestIDBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// setForwardedHeaders adds the request ID and the caller's address to the
// header that is sent to backend servers. It must be called before the first
// attempt.
func (c *call) setForwardedHeaders() {
	h := c.r.Header
	h.Set(c.config.requestID, c.id)
	address, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return
	}
	if existing := h.Get(forwardedForHeader); existing != "" {
		address = existing + ", " + address
	}
	h.Set(forwardedForHeader, address)
}

// maxAttempts returns the number of attempts that the route or the service
// allows.
func (c *call) maxAttempts() int {
	if c.handoff != nil {
		return c.handoff.MaxAttempts
	}
	if c.route != nil && c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts
	}
	return c.settings.Retry.MaxAttempts
}

// attemptTimeout returns the time limit of one attempt of an idempotent request.
func (c *call) attemptTimeout() time.Duration {
	return dynamic.MillisToDuration(cmp.Or(c.routeAttemptTimeoutMS(), c.settings.AttemptTimeoutMS))
}

// routeAttemptTimeoutMS returns the time limit that the route states, or 0. A peer that
// has handed the request on has resolved the route.
func (c *call) routeAttemptTimeoutMS() int {
	switch {
	case c.handoff != nil:
		return c.handoff.AttemptTimeoutMS
	case c.route != nil:
		return c.route.AttemptTimeoutMS
	}
	return 0
}

// refuseBeforeClaim refuses a request before its key was claimed. Without a key
// nothing ran. With a key, an earlier request with that key may have run, which
// only the owner of the key knows.
func (c *call) refuseBeforeClaim(status int, reason, detail string) result {
	if c.record.KeyState != keyStateNone && !c.isIdempotent() {
		return unknownResult(status, reason, detail)
	}
	return notRunResult(status, reason, detail)
}

// isIdempotent decides by the route or, without a route, by the method. For a request
// that a peer has handed on, the peer has decided.
func (c *call) isIdempotent() bool {
	if c.handoff != nil {
		return c.handoff.Idempotent
	}
	if c.route != nil {
		return c.route.Idempotent
	}
	return c.settings != nil && c.settings.IsIdempotent(c.r.Method)
}
