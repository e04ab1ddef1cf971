package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/quarantine"
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
	now         *snapshot // settings in force when the request came
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
	c := &call{g: g, w: w, r: r, started: time.Now(), now: g.current.Load()}
	c.rules = c.now.callers
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
	c.g.count(c.svc, res)
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

// resolve checks the request and finds its service. It returns false with the
// refusal where the request goes no further.
func (c *call) resolve() (result, bool) {
	if c.rules.MaxHeaderBytes > 0 && headerBytes(c.r) > c.rules.MaxHeaderBytes {
		return c.refuseUnclaimed(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, "the header is longer than maxHeaderBytes"), false
	}
	if hasConflictingLengths(c.r) {
		c.w.Header().Set("Connection", "close")
		return c.refuseUnclaimed(http.StatusBadRequest, reasonMalformed, "the request has both Content-Length and Transfer-Encoding"), false
	}
	if ok, reason := c.g.ready(c.now); !ok {
		return c.refuseUnclaimed(http.StatusServiceUnavailable, reason, "this entry does not serve now; another one may").retryLater(), false
	}
	if res, ok := c.locate(); !ok {
		return res, false
	}
	c.settings = c.svc.settings.Load()
	if res, ok := c.resolveDeadline(); !ok {
		return res, false
	}
	c.target = c.r.URL.RequestURI()
	if res, ok := c.readBody(); !ok {
		return res, false
	}
	c.announce()
	c.fingerprint = quarantine.Fingerprint(c.r.Method, c.target, c.body)
	if c.svc.quarantine.Blocked(c.g.now(), c.fingerprint) {
		return c.refuseUnclaimed(http.StatusServiceUnavailable, reasonQuarantined, "requests like this one crashed backend servers"), false
	}
	return result{}, true
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

// locate finds the route and the service of the request. Where the settings
// state no routes, the first segment of the path names the service.
func (c *call) locate() (result, bool) {
	routes := c.now.routes
	if routes.IsEmpty() {
		c.rec.Service, _, _ = strings.Cut(strings.TrimPrefix(c.r.URL.Path, "/"), "/")
		if c.svc = c.now.byName[c.rec.Service]; c.svc == nil {
			return c.refuseUnclaimed(http.StatusNotFound, reasonUnknownService, "no such service in this region"), false
		}
		return result{}, true
	}
	c.route = routes.Lookup(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		return c.refuseUnclaimed(http.StatusNotFound, reasonUnknownRoute, "no route for this host and path"), false
	}
	c.rec.Service = c.route.Service()
	if c.svc = c.now.byName[c.rec.Service]; c.svc == nil {
		return c.refuseUnclaimed(http.StatusServiceUnavailable, reasonUnknownService, "the service of the route is not known here").retryLater(), false
	}
	return result{}, true
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

func (c *call) resolveDeadline() (result, bool) {
	timeout := c.settings.Timeout()
	if c.route != nil && c.route.TimeoutMS > 0 {
		timeout = c.route.Timeout()
	}
	if text := c.r.Header.Get(c.rules.timeout); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return c.refuseUnclaimed(http.StatusBadRequest, reasonMalformed, c.rules.timeout+" must be a positive whole number of milliseconds"), false
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.started.Add(timeout)
	// A caller that does not read its response must not hold the request for
	// ever. Recorders in tests have no deadline, hence no error check.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
	return result{}, true
}

// readBody reads the whole request body. It is bounded, and it must be whole
// before the first byte goes to a backend server: for the fingerprint of the
// key, and so that a caller that breaks off half way has caused no work.
func (c *call) readBody() (result, bool) {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return result{}, true
	}
	limit := c.settings.MaxBodyBytes
	if c.rules.MaxBodyBytes > 0 {
		limit = min(limit, c.rules.MaxBodyBytes)
	}
	if c.r.ContentLength > limit {
		return c.refuseUnclaimed(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is longer than maxBodyBytes"), false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.refuseUnclaimed(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is longer than maxBodyBytes"), false
	case err != nil:
		return c.refuseUnclaimed(http.StatusBadRequest, reasonBodyIncomplete, "the body did not arrive whole"), false
	}
	c.body = body
	return result{}, true
}

// headerBytes is the size of the request's header as the caller wrote it, but
// for white space.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
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
