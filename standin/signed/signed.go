// Package signed is a stand-in for a backend server of the users' platform, for
// tests. It has an instance ID, reports its load, signs its responses and records
// the requests that it has run.
package signed

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Run is a request that a backend server has run. Target is the request target
// and Deadline the value of Deadline-Ms.
type Run struct {
	ID, Method, Target, Body, Deadline string
}

// Backend is a running stand-in. It is safe for concurrent use.
type Backend struct {
	ID     string
	server *httptest.Server

	mu       sync.Mutex
	runs     []Run
	probes   int
	override func(w http.ResponseWriter, r *http.Request) bool
	load     string
	limit    string // value of Server-Limit; empty: not stated
	warmup   string // value of Warmup-Ms in responses to /health; empty: not stated
	leaving  bool   // whether all responses say that the backend server leaves
}

// New starts a backend server with the instance ID id on a loopback address.
func New(id string) *Backend {
	b := &Backend{ID: id, load: "0,0,6,100"}
	b.server = httptest.NewServer(b)
	return b
}

// Close stops the backend server.
func (b *Backend) Close() {
	b.server.CloseClientConnections()
	b.server.Close()
}

// Address returns the address as IP:port.
func (b *Backend) Address() string { return b.server.Listener.Addr().String() }

// Registration returns the JSON value that the backend server registers in the
// store.
func (b *Backend) Registration(service, zone, state string) []byte {
	return fmt.Appendf(nil, `{"address":%q,"born":1700000000000,"info":{"service":%q,"version":"v1","zone":%q,"slots":6},"status":{"state":%q,"seq":1,"warmup-left-ms":0}}`,
		b.Address(), service, zone, state)
}

// SetOverride sets a function that is called with each request that is neither for
// /health nor addressed to another instance. If it returns true, it has
// responded, and the backend server does not run the request.
func (b *Backend) SetOverride(override func(w http.ResponseWriter, r *http.Request) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.override = override
}

// SetLoad sets the load report, the value of Backend-Load.
func (b *Backend) SetLoad(load string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
}

// SetRateLimit sets the value of Server-Limit in all responses; empty: not stated.
func (b *Backend) SetRateLimit(limit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// SetWarmup sets the value of Warmup-Ms in responses to /health; empty: not stated.
func (b *Backend) SetWarmup(warmup string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmup = warmup
}

// SetLeaving sets whether all responses say that the backend server leaves.
func (b *Backend) SetLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = leaving
}

// Runs returns the requests that have run, in that order.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Probes returns the number of requests for /health, which entries send as load
// probes, load queries and health checks.
func (b *Backend) Probes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.probes
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	override, load, limit, leaving := b.override, b.load, b.limit, b.leaving
	b.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.ID {
		w.Header().Set("Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Backend-Load", load)
	if limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if r.URL.Path == "/health" {
		b.mu.Lock()
		b.probes++
		warmup := b.warmup
		b.mu.Unlock()
		if warmup != "" {
			w.Header().Set("Warmup-Ms", warmup)
		}
		w.Header().Set("Instance-Id", b.ID)
		return
	}
	if override != nil && override(w, r) {
		return
	}
	b.Run(w, r)
}

// Run records the request as run and responds to it.
func (b *Backend) Run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	b.mu.Lock()
	b.runs = append(b.runs, Run{ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body), Deadline: r.Header.Get("Deadline-Ms")})
	b.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Backend-Signature", "signed by "+b.ID)
	_, _ = io.WriteString(w, "answer to "+id) // fails if the caller has disconnected
}
