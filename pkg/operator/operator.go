package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"lentilpin/pkg/events"
)

const (
	headerReadTimeout = 5 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10

	defaultRefusalMinutes = 60
	defaultAuditChanges   = 1000

	// unauthorizedLogInterval limits the rate of log lines about missing or wrong
	// credentials.
	unauthorizedLogInterval = 10 * time.Second
)

// Upper limits of query parameters.
const (
	MaxRefusalMinutes = 24 * 60 // parameter minutes of /v1/refusals
	MaxAuditChanges   = 10000   // parameter limit of /v1/audit
)

// ProblemUnknown is the problem type for an object that this entry does not know,
// as opposed to a path that does not exist.
const ProblemUnknown = "urn:lentilpin:operator:unknown"

// Problem is the body of an error response, as in RFC 9457.
type Problem struct {
	Type   string   `json:"type"`
	Title  string   `json:"title"`
	Status int      `json:"status"`
	Detail string   `json:"detail"`
	Entry  Identity `json:"entry"`
}

// Options are the parameters of the operator interface. All are required.
type Options struct {
	View       View
	Credential string
	Metrics    http.Handler
	Recorder   events.Recorder
}

type handler struct {
	options          Options
	credentialDigest [sha256.Size]byte

	mu           sync.Mutex
	unauthorized int
	lastLogged   time.Time
}

// NewServer returns the HTTP server for the operator listener. It panics if the
// credential is empty.
func NewServer(options Options) *http.Server {
	return &http.Server{
		Handler: New(options), ReadHeaderTimeout: headerReadTimeout, ReadTimeout: headerReadTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// New returns the handler of all routes. It panics if the credential is empty,
// because every client would then be authorized.
func New(options Options) http.Handler {
	if options.Credential == "" {
		panic("operator: empty credential")
	}
	h := &handler{options: options, credentialDigest: sha256.Sum256([]byte(options.Credential))}
	e := echo.New()
	e.HTTPErrorHandler = h.writeProblem
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.ready)
	e.GET("/metrics", echo.WrapHandler(options.Metrics))
	v1 := e.Group("/v1", h.authorize)
	v1.GET("/requests/:id", h.request)
	v1.GET("/refusals", h.refusals)
	v1.GET("/backends/:service", h.backends)
	v1.GET("/backends/:service/:address", h.backend)
	v1.GET("/settings/:service", h.settings)
	v1.GET("/instances", func(c echo.Context) error { return writeReply(h, c, options.View.InstanceState()) })
	v1.GET("/draining", func(c echo.Context) error { return writeReply(h, c, options.View.DrainMarks()) })
	v1.GET("/measuring", func(c echo.Context) error { return writeReply(h, c, options.View.Measuring()) })
	v1.GET("/hedges", func(c echo.Context) error { return writeReply(h, c, options.View.Hedges()) })
	v1.GET("/audit", h.audit)
	return e
}

func (h *handler) ready(c echo.Context) error {
	if ok, reason := h.options.View.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderCacheControl, "no-store")
		scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
		// The digests have the same length, so the comparison takes the same
		// time for every token.
		digest := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(digest[:], h.credentialDigest[:]) != 1 || !strings.EqualFold(scheme, "bearer") {
			h.recordUnauthorized(c.Request().RemoteAddr)
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return echo.NewHTTPError(http.StatusUnauthorized, "the bearer credential is missing or wrong")
		}
		return next(c)
	}
}

// recordUnauthorized counts a request without the valid credential and logs the
// count at most once in unauthorizedLogInterval.
func (h *handler) recordUnauthorized(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unauthorized++
	if now := time.Now(); now.Sub(h.lastLogged) >= unauthorizedLogInterval {
		h.options.Recorder.Record(eventUnauthorized, events.F("address", address), events.F("requests", h.unauthorized))
		h.unauthorized, h.lastLogged = 0, now
	}
}

func (h *handler) request(c echo.Context) error {
	id, err := pathParam(c, "id")
	if err != nil {
		return err
	}
	if r, ok := h.options.View.Log().FindRequest(id); ok {
		return writeReply(h, c, r)
	}
	totals := h.options.View.Log().Totals()
	if totals.Requests == 0 {
		return newUnknownError("no record of request %s: this instance has no records yet", id)
	}
	return newUnknownError("no record of request %s: records reach back to %s, %d older ones have fallen off",
		id, totals.OldestRequest.UTC().Format(time.RFC3339), totals.RequestsEvicted)
}

func (h *handler) refusals(c echo.Context) error {
	minutes, err := intQueryParam(c, "minutes", defaultRefusalMinutes, 1, MaxRefusalMinutes)
	if err != nil {
		return err
	}
	return writeReply(h, c, h.options.View.Log().Refusals(time.Now().Add(-time.Duration(minutes)*time.Minute)))
}

func (h *handler) backends(c echo.Context) error {
	service, err := pathParam(c, "service")
	if err != nil {
		return err
	}
	list, ok := h.options.View.Backends(service)
	if !ok {
		return newUnknownError("no service %s", service)
	}
	return writeReply(h, c, list)
}

func (h *handler) backend(c echo.Context) error {
	service, err := pathParam(c, "service")
	if err != nil {
		return err
	}
	address, err := pathParam(c, "address")
	if err != nil {
		return err
	}
	list, ok := h.options.View.Backends(service)
	if !ok {
		return newUnknownError("no service %s", service)
	}
	for _, b := range list {
		if b.Address == address {
			return writeReply(h, c, b)
		}
	}
	return newUnknownError("no backend server %s of service %s in the instance list of this instance", address, service)
}

func (h *handler) settings(c echo.Context) error {
	service, err := pathParam(c, "service")
	if err != nil {
		return err
	}
	s, ok := h.options.View.Settings(service)
	if !ok {
		return newUnknownError("no service %s in the settings in force", service)
	}
	return writeReply(h, c, s)
}

func (h *handler) audit(c echo.Context) error {
	after, err := intQueryParam(c, "after", 0, 0, 1<<62)
	if err != nil {
		return err
	}
	limit, err := intQueryParam(c, "limit", defaultAuditChanges, 1, MaxAuditChanges)
	if err != nil {
		return err
	}
	return writeReply(h, c, h.options.View.Log().Changes(uint64(after), int(limit)))
}

func writeReply[T any](h *handler, c echo.Context, result T) error {
	return c.JSON(http.StatusOK, Reply[T]{Entry: h.options.View.Identity(), Time: time.Now().UTC(), Result: result})
}

// unknownError states that this entry does not know the requested object.
type unknownError struct{ detail string }

func (e *unknownError) Error() string { return e.detail }

func newUnknownError(format string, args ...any) error {
	return &unknownError{fmt.Sprintf(format, args...)}
}

// writeProblem writes an error as problem details. It is the error handler of
// echo.
func (h *handler) writeProblem(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := Problem{Type: "about:blank", Status: http.StatusInternalServerError, Entry: h.options.View.Identity()}
	var ue *unknownError
	var he *echo.HTTPError
	switch {
	case errors.As(err, &ue):
		p.Type, p.Status, p.Detail = ProblemUnknown, http.StatusNotFound, ue.detail
	case errors.As(err, &he):
		p.Status, p.Detail = he.Code, fmt.Sprint(he.Message)
	}
	p.Title = http.StatusText(p.Status)
	if p.Status == http.StatusUnauthorized || !strings.HasPrefix(c.Request().URL.Path, "/v1/") {
		p.Entry = Identity{} // not disclosed without the credential
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // encoding a struct of strings and numbers cannot fail
	}
	_ = c.Blob(p.Status, "application/problem+json", body)
}

// pathParam returns a parameter of the path, unescaped. echo leaves it escaped if
// the path of the request is escaped.
func pathParam(c echo.Context, name string) (string, error) {
	v := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return v, nil
	}
	v, err := url.PathUnescape(v)
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, name+" is not escaped properly")
	}
	return v, nil
}

// intQueryParam returns a query parameter from minimum to maximum, or defaultValue
// if the request does not have it.
func intQueryParam(c echo.Context, name string, defaultValue, minimum, maximum int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < minimum || n > maximum {
		return 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("%s must be a number from %d to %d", name, minimum, maximum))
	}
	return n, nil
}
