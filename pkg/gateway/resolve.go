package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/quarantine"
)

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
	if ok, reason := c.awaitReady(); !ok {
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

const (
	// readyPatience is how long a request waits for the settings before it is
	// refused. An entry that starts, or that was paused, has them within a tenth of
	// a second, and a caller that is refused may have no further try.
	readyPatience = 100 * time.Millisecond
	readyPoll     = 10 * time.Millisecond
)

// awaitReady reports whether requests may be served, and why not. The settings
// that hold for the request are those in force when it returns.
func (c *call) awaitReady() (ok bool, reason string) {
	end := time.Now().Add(readyPatience)
	for {
		if ok, reason = c.g.ready(c.inForce); ok || !time.Now().Before(end) {
			return ok, reason
		}
		select {
		case <-c.r.Context().Done():
			return false, reason
		case <-time.After(readyPoll):
		}
		c.inForce = c.g.current.Load()
		c.rules = c.inForce.callers
	}
}

// locate finds the route and the service of the request. Where the settings
// state no routes, the first segment of the path names the service.
func (c *call) locate() (result, bool) {
	routes := c.inForce.routes
	if routes.IsEmpty() {
		c.rec.Service, _, _ = strings.Cut(strings.TrimPrefix(c.r.URL.Path, "/"), "/")
		if c.svc = c.inForce.byName[c.rec.Service]; c.svc == nil {
			return c.refuseUnclaimed(http.StatusNotFound, reasonUnknownService, "no such service in this region"), false
		}
		return result{}, true
	}
	c.route = routes.Lookup(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		return c.refuseUnclaimed(http.StatusNotFound, reasonUnknownRoute, "no route for this host and path"), false
	}
	c.rec.Service = c.route.Service()
	if c.svc = c.inForce.byName[c.rec.Service]; c.svc == nil {
		return c.refuseUnclaimed(http.StatusServiceUnavailable, reasonUnknownService, "the service of the route is not known here").retryLater(), false
	}
	return result{}, true
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
