package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/framing"
	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/route"
)

// resolve validates the request, finds its service, sets the deadline and reads
// the body. It returns false and the refusal if the request is refused.
func (c *call) resolve() (result, bool) {
	if c.config.MaxHeaderBytes > 0 && headerBytes(c.r) > c.config.MaxHeaderBytes {
		return c.refuseBeforeClaim(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLarge, "the header is longer than maxHeaderBytes"), false
	}
	if detail, isUncertain := framing.Error(c.r); isUncertain {
		return c.refuseBeforeClaim(http.StatusBadRequest, reasonMalformed, detail), false
	}
	if ok, reason := c.waitUntilReady(); !ok {
		if c.r.Context().Err() != nil {
			return result{outcome: audit.OutcomeAborted, run: c.refuseBeforeClaim(0, reason, "").run, reason: reasonCallerGone}, false
		}
		return c.refuseBeforeClaim(http.StatusServiceUnavailable, reason, "this entry does not serve now; another one may").withRetryAfter(), false
	}
	if res, ok := c.findService(); !ok {
		return res, false
	}
	c.settings = c.svc.settings.Load()
	if res, ok := c.resolveDeadline(); !ok {
		return res, false
	}
	c.target = requestTarget(c.r)
	if res, ok := c.readBody(); !ok {
		return res, false
	}
	c.setForwardedHeaders()
	c.fingerprint = quarantine.Fingerprint(c.r.Method, c.target, c.body)
	if c.isQuarantined(c.r.Context()) {
		return c.refuseBeforeClaim(http.StatusServiceUnavailable, reasonQuarantined, "requests like this one crashed backend servers"), false
	}
	return result{}, true
}

const (
	// readinessTimeout is how long a request waits for the settings before it
	// is refused. An instance that was paused gets its settings within 100 ms, and the
	// caller of a refused request may not be able to retry.
	readinessTimeout      = 100 * time.Millisecond
	readinessPollInterval = 10 * time.Millisecond
	// startTimeout is the same for an instance that has not been ready since its start.
	// The load balancer sends requests to such an instance only if all others of its
	// failure domain start too, so that a refused request would find no better place.
	startTimeout = 2 * time.Second
	// startWaitShare is the share of the caller's time that a request waits for the
	// start: the rest is left to serve it, or for the caller to turn elsewhere.
	startWaitShare = 0.5
)

// waitUntilReady waits until requests may be served. It returns false and the reason if
// the instance is not ready in time or the caller has disconnected. The settings that
// apply to the request are those in force when it returns.
func (c *call) waitUntilReady() (ok bool, reason string) {
	end := time.Now().Add(c.readinessWait())
	for {
		if ok, reason = c.g.readiness(c.activeSnapshot); ok {
			c.g.wasReady.Store(true)
			return true, ""
		}
		if !time.Now().Before(end) {
			return false, reason
		}
		select {
		case <-c.r.Context().Done():
			return false, reason
		case <-time.After(readinessPollInterval):
		}
		c.activeSnapshot = c.g.current.Load()
		c.config = c.activeSnapshot.callers
	}
}

// readinessWait returns how long the request waits for the instance to be ready.
func (c *call) readinessWait() time.Duration {
	if c.g.wasReady.Load() {
		return readinessTimeout
	}
	wait := startTimeout
	if timeout, ok := parseTimeout(c.r.Header.Get(c.config.timeout)); ok {
		wait = min(wait, time.Duration(startWaitShare*float64(timeout)))
	}
	return max(wait, readinessTimeout)
}

// findService finds the route and the service of the request. If the settings state no
// list of routes, the first path segment is the name of the service; if the list is
// empty, no request has a route.
func (c *call) findService() (result, bool) {
	routes := c.activeSnapshot.routes
	if routes == nil {
		name, _, _ := strings.Cut(strings.TrimPrefix(c.r.URL.Path, "/"), "/")
		if c.svc = c.activeSnapshot.byName[name]; c.svc == nil {
			return c.refuseBeforeClaim(http.StatusNotFound, reasonUnknownService, "no such service in this region"), false
		}
		c.record.Service = c.svc.name
		return result{}, true
	}
	c.route = routes.Lookup(c.r.Host, requestPath(c.r))
	if c.route == nil {
		return c.refuseBeforeClaim(http.StatusNotFound, reasonUnknownRoute, "no route for this host and path"), false
	}
	c.record.Service = c.route.Service()
	if c.svc = c.activeSnapshot.byName[c.record.Service]; c.svc == nil {
		return c.refuseBeforeClaim(http.StatusServiceUnavailable, reasonUnknownService, "the service of the route is not known here").withRetryAfter(), false
	}
	return result{}, true
}

// requestTarget returns the path and the query of a request as they were sent. Those in
// r.URL may be encoded in another way.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // of an absolute URL
}

// requestPath returns the path of a request in the form of route.EscapePath.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return route.EscapePath(path)
}

func (c *call) resolveDeadline() (result, bool) {
	timeout := c.settings.Timeout()
	if c.route != nil && c.route.TimeoutMS > 0 {
		timeout = c.route.Timeout()
	}
	if value := c.r.Header.Get(c.config.timeout); value != "" {
		stated, ok := parseTimeout(value)
		if !ok || stated == 0 {
			return c.refuseBeforeClaim(http.StatusBadRequest, reasonMalformed, c.config.timeout+" must be a positive whole number of milliseconds"), false
		}
		c.statedTimeout = stated
		timeout = min(timeout, stated)
	}
	c.deadline = c.startTime.Add(timeout)
	if c.outlivesDrain() {
		return c.refuseBeforeClaim(http.StatusServiceUnavailable, reasonShuttingDown, shuttingDownDetail).withRetryAfter(), false
	}
	// A caller that does not read its response must not hold the request
	// forever. The error is ignored because httptest.ResponseRecorder does not
	// support deadlines.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
	return result{}, true
}

// parseTimeout parses a whole number of milliseconds. Numbers above dynamic.MaxMillis
// count as that.
func parseTimeout(value string) (time.Duration, bool) {
	ms, err := strconv.ParseUint(value, 10, 64)
	if errors.Is(err, strconv.ErrRange) {
		ms, err = dynamic.MaxMillis, nil
	}
	return time.Duration(min(ms, dynamic.MaxMillis)) * time.Millisecond, err == nil
}

// readBody reads the complete request body, up to the size limit, before the
// first byte is sent to a backend server. The fingerprint of the key needs the
// complete body, and a caller that disconnects halfway has then caused no work.
func (c *call) readBody() (result, bool) {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.isBodyRead = true
		return result{}, true
	}
	limit := c.settings.MaxBodyBytes
	if c.config.MaxBodyBytes > 0 {
		limit = min(limit, c.config.MaxBodyBytes)
	}
	if c.g.callerMemory != nil {
		limit = min(limit, c.g.bodyMemory.Size()) // a longer one would exceed the memory of the instance
	}
	if c.r.ContentLength > limit {
		return c.refuseBeforeClaim(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is longer than maxBodyBytes"), false
	}
	body, err := c.readBodyBefore(c.deadline, http.MaxBytesReader(c.w, c.r.Body, limit), limit)
	if c.isBodyRead = true; err != nil {
		closeUnread(c.w)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		return c.refuseBeforeClaim(http.StatusServiceUnavailable, reasonBodyMemory, errNoBodyMemory.Error()).withRetryAfter(), false
	case errors.Is(err, errBodyGaveWay):
		return c.refuseBeforeClaim(http.StatusRequestTimeout, reasonBodyIncomplete, errBodyGaveWay.Error()), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuseBeforeClaim(http.StatusRequestTimeout, reasonBodyIncomplete, "the body did not arrive before the deadline"), false
	case errors.As(err, &tooLarge):
		return c.refuseBeforeClaim(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is longer than maxBodyBytes"), false
	case err != nil:
		return c.refuseBeforeClaim(http.StatusBadRequest, reasonBodyIncomplete, "the body did not arrive whole"), false
	}
	c.body = body
	return result{}, true
}

// readBodyBefore reads the body until the deadline or the end of the drain, whichever
// comes first. A request whose body arrives later cannot be served, and its caller must
// learn so before the connection is closed.
func (c *call) readBodyBefore(deadline time.Time, body io.Reader, limit int64) ([]byte, error) {
	connection := http.NewResponseController(c.w) // errors: httptest.ResponseRecorder has no deadlines
	_ = connection.SetReadDeadline(deadline)
	stop := context.AfterFunc(c.g.drain.endCtx, func() { _ = connection.SetReadDeadline(time.Now()) })
	arrived := drain.AwaitBody(c.r.Context())
	out, err := c.holdBody(body, limit)
	stop()
	if isOpen := arrived(); err == nil && !isOpen {
		err = errBodyGaveWay
	}
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
	}
	return out, err
}

// headerBytes returns the approximate size of the request header in bytes.
// Optional white space is not counted.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
