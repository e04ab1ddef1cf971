package gateway

import (
	"encoding/json"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/framing"
)

// maxKeysPerRequest is the maximum number of keys that one request to keysPath
// can issue.
const maxKeysPerRequest = 100

// headSlopBytes is what the reader of heads and net/http accept beyond the limit, so that
// white space does not count.
const headSlopBytes = 4096

// keysPath is the path that issues idempotency keys.
const keysPath = "/.lentilpin/keys"

// Keys is the body of a response of keysPath.
type Keys struct {
	Keys []string `json:"keys"`
}

// NewServer returns the HTTP server for callers on l, with the given limits. The error
// log of the server is discarded because callers can cause any number of lines in it.
func NewServer(g *Gateway, l net.Listener, limits static.Limits) *drain.Server {
	s := drain.NewServer(newCallerServer(g, limits), framing.NewListener(bufferListener{l, limits.SendBufferBytes, limits.ReceiveBufferBytes}, framing.Limits{
		MaxHeadBytes: func() int { return g.maxHeadBytes(limits.MaxHeaderBytes) }, Heads: g.limits.heads,
	}))
	s.LimitConnections(limits.MaxConnections, g.callerMemory, static.ConnectionBytes)
	g.limits.reports.watch(eventConnectionLimit, "connections_closed", s.ClosedForRoom)
	return s
}

// maxHeadBytes returns the limit of a head of a caller: the lower one of the settings file
// and of the configuration.
func (g *Gateway) maxHeadBytes(most int) int {
	if n := g.current.Load().callers.MaxHeaderBytes; n > 0 {
		most = min(most, n)
	}
	return most + headSlopBytes
}

func newCallerServer(g *Gateway, limits static.Limits) *http.Server {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.POST(keysPath, g.issueKeys)
	return &http.Server{
		Handler: g.limits.refuseOverLimit(g, closeIfUncertain(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && r.URL.Path == keysPath {
				e.ServeHTTP(w, r)
				return
			}
			// echo would refuse methods that it doesn't know, and targets without a path.
			g.ServeHTTP(w, r)
		}))),
		MaxHeaderBytes:    limits.MaxHeaderBytes + headSlopBytes,
		ReadHeaderTimeout: dynamic.MillisToDuration(limits.HeaderReadMS),
		ReadTimeout:       dynamic.MillisToDuration(limits.HeaderReadMS + limits.BodyReadMS),
		IdleTimeout:       dynamic.MillisToDuration(limits.IdleMS),
		ErrorLog:          log.New(discardWriter{}, "", 0),
		// net/http would answer OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
	}
}

// closeIfUncertain closes the connection after a request whose framing is not certain,
// whatever responds to it.
func closeIfUncertain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, isUncertain := r.Header[framing.ErrorField]; isUncertain {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// issueKeys returns new idempotency keys, one by default. Issuing a key stores
// nothing, so that only the size of the response is limited.
func (g *Gateway) issueKeys(c echo.Context) error {
	discardBody(c.Response().Writer, c.Request())
	count, err := strconv.Atoi(c.QueryParam("count"))
	if c.QueryParam("count") == "" {
		count, err = 1, nil
	}
	if err != nil || count < 1 || count > maxKeysPerRequest {
		res := notRunResult(http.StatusBadRequest, reasonMalformed, "count must be from 1 to "+strconv.Itoa(maxKeysPerRequest))
		res.keyState = keyStateNone
		writeProblem(c.Response(), g.current.Load().callers, g.nextRequestID(), res)
		return nil
	}
	keys := Keys{Keys: make([]string, count)}
	for i := range keys.Keys {
		keys.Keys[i] = g.owner.Issue(g.keyLifetime())
	}
	c.Response().Header().Set("Cache-Control", "no-store")
	if g.drain.end.Load() != nil {
		c.Response().Header().Set("Connection", "close")
	}
	body, err := json.Marshal(keys)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/json", body)
}

// keyLifetime returns the shortest key lifetime of all services, because a key
// may be used for any of them, but at most defaultKeyLifetime.
func (g *Gateway) keyLifetime() time.Duration {
	lifetime := defaultKeyLifetime
	for _, s := range g.current.Load().list {
		lifetime = min(lifetime, dynamic.MillisToDuration(s.settings.Load().Keys.LifetimeMS))
	}
	return lifetime
}
