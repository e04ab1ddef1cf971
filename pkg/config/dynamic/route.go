package dynamic

import (
	"fmt"
	"time"

	"lentilpin/pkg/config/schema"
)

// Route says which service runs the requests for a host and a path. Among the
// routes of a host the longest prefix that begins the path counts.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`      // begins and ends with a slash
	Idempotent      bool    `json:"idempotent"`      // default false; requests may run more than once
	TimeoutMS       int     `json:"timeoutMs"`       // default 0: that of the service; longest time that a caller is kept waiting
	MaxAttempts     int     `json:"maxAttempts"`     // default 0: that of the service; backend servers that one request may be sent to
	TargetLatencyMS int     `json:"targetLatencyMs"` // default 0: none stated; time within which a response is worth most
	Priority        int     `json:"priority"`        // default 0; 0 is the most urgent
	Services        []Share `json:"services"`        // one service, or several that share the requests by weight
}

// Share is the part of a route's requests that one service runs.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the others; without effect where there is one service
}

// Timeout returns the longest time that a caller is kept waiting; 0 if the
// route states none.
func (r *Route) Timeout() time.Duration { return MS(r.TimeoutMS) }

// Callers are the bounds on what a caller may send. Zero leaves the bound of
// the settings file or of the service in force.
type Callers struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMS int   `json:"headerTimeoutMs"` // for the header of one request
	IdleTimeoutMS   int   `json:"idleTimeoutMs"`   // of a connection between two requests

	Headers CallerHeaders `json:"headers"`
	// RequireRequestID refuses requests without an identifier; default false,
	// which gives such a request one.
	RequireRequestID bool `json:"requireRequestId"`
	RetryAfterMS     int  `json:"retryAfterMs"` // default 0: 1000; told to callers of refusals that a later try may not meet
	// FractionalRetryAfter states that time in seconds with fractions instead
	// of whole seconds; default false.
	FractionalRetryAfter bool `json:"fractionalRetryAfter"`
}

// CallerHeaders are the names of header fields between callers and entries.
// An empty name leaves the default.
type CallerHeaders struct {
	RequestID string `json:"requestId"` // default Lentilpin-Request-Id
	Timeout   string `json:"timeout"`   // default Request-Timeout; milliseconds that the caller waits
}

// checkRoutes applies the rules that span a route and the rest of the tree.
func (t *Tree) checkRoutes() []schema.Violation {
	type place struct{ host, prefix string }
	seen := make(map[place]bool, len(t.Routes))
	var out []schema.Violation
	for i := range t.Routes {
		r := &t.Routes[i]
		path := fmt.Sprintf("/routes/%d", i)
		at := place{r.Host, r.PathPrefix}
		if seen[at] {
			out = append(out, schema.Violation{Path: path + "/pathPrefix", Value: r.PathPrefix, Rule: "must be unique among the routes of its host"})
		}
		seen[at] = true
		for j, s := range r.Services {
			if !t.hasService(s.Service) {
				out = append(out, schema.Violation{Path: fmt.Sprintf("%s/services/%d/service", path, j), Value: s.Service, Rule: "must be a service of some region"})
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
