package dynamic

import (
	"fmt"
	"math"
	"time"

	"lentilpin/pkg/config/schema"
)

// Route maps the requests for a host and a path to services. Among the routes
// of a host, the one with the longest matching path prefix applies.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"` // begins and ends with a slash
	Idempotent bool   `json:"idempotent"` // default false; whether requests may run more than once
	TimeoutMS  int    `json:"timeoutMs"`  // default 0: that of the service; upper bound of a caller's wait
	// AttemptTimeoutMS is the time limit of one attempt of an idempotent request; default
	// 0: that of the service.
	AttemptTimeoutMS int               `json:"attemptTimeoutMs,omitempty"`
	MaxAttempts      int               `json:"maxAttempts"`     // default 0: that of the service; most backend servers that one request is sent to
	TargetLatencyMS  int               `json:"targetLatencyMs"` // default 0: no target; latency within which a response has its full value
	Priority         int               `json:"priority"`        // default 0; 0 is the highest priority
	Services         []WeightedService `json:"services"`        // one service, or several that split the requests by weight
}

// WeightedService assigns one service a weighted part of the requests of a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the weights of the other services; no effect with a single service
}

// Timeout returns the upper bound of a caller's wait, or 0 if the route states
// none.
func (r *Route) Timeout() time.Duration { return MillisToDuration(r.TimeoutMS) }

// MaxMillis is the largest number of milliseconds that settings may state, 24 days. Its
// duration can be added to any time without an overflow.
const MaxMillis = math.MaxInt32

// Callers holds the settings that apply to callers: limits on what they send,
// names of header fields and Retry-After. A limit of zero leaves that of the
// settings file or of the service in force.
type Callers struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMS int   `json:"headerTimeoutMs"` // time to receive the header of one request
	IdleTimeoutMS   int   `json:"idleTimeoutMs"`   // idle time of a connection between two requests

	Headers CallerHeaders `json:"headers"`
	// RequireRequestID takes the request ID from the caller and refuses requests
	// without one; default false, in which case the entry generates every ID.
	RequireRequestID bool `json:"requireRequestId"`
	RetryAfterMS     int  `json:"retryAfterMs"` // default 0: 1000; value of Retry-After in refusals that a later retry may avoid
	// FractionalRetryAfter writes Retry-After as a decimal number of seconds
	// instead of whole seconds; default false.
	FractionalRetryAfter bool `json:"fractionalRetryAfter"`
}

// CallerHeaders holds the names of header fields between callers and entries.
// An empty name stands for the default.
type CallerHeaders struct {
	RequestID string `json:"requestId"` // default Lentilpin-Request-Id
	Timeout   string `json:"timeout"`   // default Request-Timeout; milliseconds that the caller waits
}

// checkRoutes validates the rules that relate a route to the rest of the tree.
func (t *Tree) checkRoutes() []schema.Violation {
	type routeKey struct{ host, prefix string }
	seen := make(map[routeKey]bool, len(t.Routes))
	var out []schema.Violation
	for i := range t.Routes {
		r := &t.Routes[i]
		key := routeKey{r.Host, r.PathPrefix}
		if seen[key] {
			out = append(out, schema.Violation{Path: fmt.Sprintf("/routes/%d/pathPrefix", i), Value: r.PathPrefix, Rule: "must be unique among the routes of its host"})
		}
		seen[key] = true
		for j, s := range r.Services {
			if !t.hasService(s.Service) {
				out = append(out, schema.Violation{Path: fmt.Sprintf("/routes/%d/services/%d/service", i, j), Value: s.Service, Rule: "must be a service of some region"})
			}
		}
	}
	return out
}

func (t *Tree) hasService(name string) bool {
	for _, services := range t.services {
		if services[name] != nil {
			return true
		}
	}
	return false
}
