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
	headerTimeout  = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10

	defaultMinutes = 60
	defaultChanges = 1000

	// refusedInterval bounds the log lines that wrong credentials can cause.
	refusedInterval = 10 * time.Second
)

// Bounds of the parameters of questions.
const (
	MaxMinutes = 24 * 60 // refusals
	MaxChanges = 10000   // audit
)

// ProblemUnknown is the type of a problem that says that this entry does not
// know what was asked for, as opposed to a path that does not exist.
const ProblemUnknown = "urn:lentilpin:operator:unknown"

// Problem is the body of an error.
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
	o    Options
	want [sha256.Size]byte

	mu       sync.Mutex
	refused  int
	reported time.Time
}

// NewServer returns the server of the operator listener.
func NewServer(o Options) *http.Server {
	return &http.Server{
		Handler: New(o), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// New returns the handler of all routes. An empty credential is refused by a
// panic, because it would let everybody in.
func New(o Options) http.Handler {
	if o.Credential == "" {
		panic("operator: empty credential")
	}
	h := &handler{o: o, want: sha256.Sum256([]byte(o.Credential))}
	e := echo.New()
	e.HTTPErrorHandler = h.fail
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.ready)
	e.GET("/metrics", echo.WrapHandler(o.Metrics))
	v1 := e.Group("/v1", h.authorize)
	v1.GET("/requests/:id", h.request)
	v1.GET("/refusals", h.refusals)
	v1.GET("/backends/:service", h.backends)
	v1.GET("/backends/:service/:address", h.backend)
	v1.GET("/settings/:service", h.settings)
	v1.GET("/instances", func(c echo.Context) error { return reply(h, c, o.View.Instances()) })
	v1.GET("/draining", func(c echo.Context) error { return reply(h, c, o.View.Draining()) })
	v1.GET("/measuring", func(c echo.Context) error { return reply(h, c, o.View.Measuring()) })
	v1.GET("/audit", h.audit)
	return e
}

func (h *handler) ready(c echo.Context) error {
	if ok, reason := h.o.View.Ready(); !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(echo.HeaderCacheControl, "no-store")
		scheme, token, _ := strings.Cut(c.Request().Header.Get(echo.HeaderAuthorization), " ")
		// The digests have one length, so the comparison takes the same time
		// for every token.
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], h.want[:]) != 1 || !strings.EqualFold(scheme, "bearer") {
			h.countRefused(c.Request().RemoteAddr)
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return echo.NewHTTPError(http.StatusUnauthorized, "the bearer credential is missing or wrong")
		}
		return next(c)
	}
}

func (h *handler) countRefused(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
	if now := time.Now(); now.Sub(h.reported) >= refusedInterval {
		h.o.Recorder.Record(eventRefused, events.F("address", address), events.F("requests", h.refused))
		h.refused, h.reported = 0, now
	}
}

func (h *handler) request(c echo.Context) error {
	id, err := param(c, "id")
	if err != nil {
		return err
	}
	if r, ok := h.o.View.Log().Find(id); ok {
		return reply(h, c, r)
	}
	n := h.o.View.Log().Dropped()
	if n.Requests == 0 {
		return unknown("no record of request %s: this instance has no records yet", id)
	}
	return unknown("no record of request %s: records reach back to %s, %d older ones have fallen off",
		id, n.OldestRequest.UTC().Format(time.RFC3339), n.RequestsEvicted)
}

func (h *handler) refusals(c echo.Context) error {
	minutes, err := number(c, "minutes", defaultMinutes, 1, MaxMinutes)
	if err != nil {
		return err
	}
	return reply(h, c, h.o.View.Log().Refusals(time.Now().Add(-time.Duration(minutes)*time.Minute)))
}

func (h *handler) backends(c echo.Context) error {
	service, err := param(c, "service")
	if err != nil {
		return err
	}
	list, ok := h.o.View.Backends(service)
	if !ok {
		return unknown("no service %s", service)
	}
	return reply(h, c, list)
}

func (h *handler) backend(c echo.Context) error {
	service, err := param(c, "service")
	if err != nil {
		return err
	}
	address, err := param(c, "address")
	if err != nil {
		return err
	}
	list, ok := h.o.View.Backends(service)
	if !ok {
		return unknown("no service %s", service)
	}
	for _, b := range list {
		if b.Address == address {
			return reply(h, c, b)
		}
	}
	return unknown("no backend server %s of service %s in the instance list of this instance", address, service)
}

func (h *handler) settings(c echo.Context) error {
	service, err := param(c, "service")
	if err != nil {
		return err
	}
	s, ok := h.o.View.Settings(service)
	if !ok {
		return unknown("no service %s in the settings in force", service)
	}
	return reply(h, c, s)
}

func (h *handler) audit(c echo.Context) error {
	after, err := number(c, "after", 0, 0, 1<<62)
	if err != nil {
		return err
	}
	limit, err := number(c, "limit", defaultChanges, 1, MaxChanges)
	if err != nil {
		return err
	}
	return reply(h, c, h.o.View.Log().Changes(uint64(after), int(limit)))
}

func reply[T any](h *handler, c echo.Context, result T) error {
	return c.JSON(http.StatusOK, Reply[T]{Entry: h.o.View.Identity(), Time: time.Now().UTC(), Result: result})
}

// unknownError says that this entry does not know what was asked for.
type unknownError struct{ detail string }

func (e *unknownError) Error() string { return e.detail }

func unknown(format string, args ...any) error {
	return &unknownError{fmt.Sprintf(format, args...)}
}

// fail writes an error as problem details.
func (h *handler) fail(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := Problem{Type: "about:blank", Status: http.StatusInternalServerError, Entry: h.o.View.Identity()}
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
		p.Entry = Identity{} // whoever has no credential learns nothing
	}
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	_ = c.Blob(p.Status, "application/problem+json", body)
}

// param returns a parameter of the path. echo leaves it escaped if the request
// has an escaped path.
func param(c echo.Context, name string) (string, error) {
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

func number(c echo.Context, name string, standard, low, high int64) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return standard, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("%s must be a number from %d to %d", name, low, high))
	}
	return n, nil
}
