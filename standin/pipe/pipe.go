// Package pipe is a stand-in for a backend server without sockets. Connections
// are in-memory pipes, so that tests can run in virtual time. Each request takes
// the next fault of a script, and the stand-in counts which requests ran.
package pipe

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// TokenHeader is the request header field that identifies a request. The
	// response body repeats its value.
	TokenHeader = "X-Token"
	// RateLimitHeader is the response header field that states the rate limit.
	RateLimitHeader = "Backend-Rate-Limit"
	// WarmupHeader is the header field of responses to internal requests that states for
	// how many milliseconds the backend server stays cold. A warm one omits it.
	WarmupHeader = "Backend-Warmup"
	// SlowDelay is the delay before a request with the fault Slow runs.
	SlowDelay = 400 * time.Millisecond
	// longBodyBytes is added to the response body by the fault LongBody. It is
	// more than an entry reads ahead.
	longBodyBytes = 20 << 10
)

// Fault is what a backend server does with one request or, for RefuseConnection,
// with one connection.
type Fault int

// Faults, with Serve for none. FaultCount is the number of faults.
const (
	Serve               Fault = iota // runs the request and responds with 200
	Shed                             // responds with 503 and the statement that the request did not run
	CloseUnread                      // closes the connection without reading the body
	CloseAfterRun                    // runs the request and closes the connection
	Truncate                         // runs the request, sends half of the response body and closes the connection
	ServerError                      // runs the request and responds with 500
	UnavailableNotRun                // responds with 503 without a statement; the request did not run
	UnavailableAfterRun              // runs the request and responds with 503 without a statement
	Slow                             // runs the request after SlowDelay
	Silent                           // runs the request and never responds
	LateBytes                        // runs the request, responds with 200, sends a second response and closes the connection
	LongBody                         // runs the request and responds with a long body
	InvalidStatus                    // runs the request and responds with status 000
	InvalidAfterInterim              // runs the request and responds with an interim response and bytes that are no head
	InvalidField                     // runs the request and responds in chunks, which a field with a blank in its name states; closes the connection
	EarlyPart                        // runs the request before its body has arrived, sends part of a body without length and resets the connection
	RefuseConnection                 // refuses a new connection; a request on an open connection is served
	FaultCount
)

// Backend is a stand-in for a backend server that serves one end of an in-memory
// pipe for each connection. It is safe for concurrent use.
type Backend struct {
	mu        sync.Mutex
	script    []Fault
	runs      map[string]int // number of runs by token
	requests  []*http.Request
	arrivals  []time.Time // of requests
	load      int         // requests that the load reports state
	limit     string      // value of RateLimitHeader; empty: not stated
	coldUntil time.Time
	refusal   string // value of Retry-After with which all requests are refused; empty: they are not
	conns     []net.Conn
	callers   []int // of conns, as passed to DialFrom
	onFault   func()
}

// New returns a backend server without faults.
func New() *Backend { return &Backend{runs: map[string]int{}} }

// SetScript replaces the faults of the next requests. When none is left, requests
// are served. onFault, if not nil, is called each time a fault is taken from the
// script.
func (b *Backend) SetScript(onFault func(), script ...Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script, b.onFault = script, onFault
}

// Runs returns how often the request with the token ran.
func (b *Backend) Runs(token string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[token]
}

// Requests returns the requests that were received completely.
func (b *Backend) Requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*http.Request(nil), b.requests...)
}

// isInternal reports whether an entry sends a request on its own account: a load
// query, a probe or a health check.
func isInternal(r *http.Request) bool { return r.URL.Path == "/load" || r.URL.Path == "/health" }

// Arrivals returns the times at which the requests of callers were received
// completely.
func (b *Backend) Arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.arrivals...)
}

// SetLoad sets the number of requests that load reports state.
func (b *Backend) SetLoad(load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = load
}

// SetRateLimit sets the rate limit in requests per second that complete responses
// state; empty: none.
func (b *Backend) SetRateLimit(limit string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// TurnCold makes the backend server state that it is cold for some time.
func (b *Backend) TurnCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
}

// SetRefusal makes the backend server refuse all requests with 503 and a Retry-After of
// the given seconds; empty: it serves them.
func (b *Backend) SetRefusal(retryAfter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusal = retryAfter
}

// signals returns the header lines with the load report and, if one is stated, the
// rate limit; responses to internal requests also the remaining warm-up.
func (b *Backend) signals(internal bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines := fmt.Sprintf("endpoint-load-metrics: TEXT named_metrics.inflight=%d,named_metrics.slots=6\r\n", b.load)
	if b.limit != "" {
		lines += RateLimitHeader + ": " + b.limit + "\r\n"
	}
	if left := time.Until(b.coldUntil); internal && left > 0 {
		lines += fmt.Sprintf("%s: %d\r\n", WarmupHeader, left.Milliseconds())
	}
	return lines
}

// Close closes all connections.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close()
	}
}

// nextFault removes and returns the next fault of the script, or Serve if none
// is left.
func (b *Backend) nextFault() Fault {
	f, ok := b.takeFault(func(Fault) bool { return true })
	if !ok {
		return Serve
	}
	return f
}

// takeFault removes the next fault of the script if matches returns true for it,
// and reports whether it did.
func (b *Backend) takeFault(matches func(Fault) bool) (Fault, bool) {
	b.mu.Lock()
	if len(b.script) == 0 || !matches(b.script[0]) {
		b.mu.Unlock()
		return 0, false
	}
	f, callback := b.script[0], b.onFault
	b.script = b.script[1:]
	b.mu.Unlock()
	if callback != nil {
		callback()
	}
	return f, true
}

// Dial connects to the backend server. It returns an error if the next fault is
// RefuseConnection.
func (b *Backend) Dial() (net.Conn, error) { return b.DialFrom(0) }

// DialFrom is Dial for one of several callers.
func (b *Backend) DialFrom(caller int) (net.Conn, error) {
	if _, refused := b.takeFault(func(f Fault) bool { return f == RefuseConnection }); refused {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	pipeEnd, serverEnd := net.Pipe()
	clientEnd := &resettable{Conn: pipeEnd}
	b.conns, b.callers = append(b.conns, serverEnd), append(b.callers, caller)
	go b.serveConn(serverEnd, clientEnd)
	return clientEnd, nil
}

// BreakConnections closes the connections of a caller.
func (b *Backend) BreakConnections(caller int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, c := range b.conns {
		if b.callers[i] == caller {
			_ = c.Close()
		}
	}
}

func (b *Backend) countRun(token string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[token]++
}

func (b *Backend) serveConn(c net.Conn, client *resettable) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f := b.nextFault()
		if f == CloseUnread {
			return
		}
		if f == EarlyPart {
			b.countRun(req.Header.Get(TokenHeader))
			client.reset([]byte("HTTP/1.1 200 x\r\n\r\npart"))
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		b.mu.Lock()
		b.requests = append(b.requests, req)
		if !isInternal(req) {
			b.arrivals = append(b.arrivals, time.Now())
		}
		refusal := b.refusal
		b.mu.Unlock()
		if refusal != "" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nBackend-Shed: not-run\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", refusal)
			continue
		}
		if !b.respond(c, f, req.Header.Get(TokenHeader), isInternal(req)) {
			return
		}
	}
}

// respond runs the request and responds to it as the fault says. It returns
// false if the connection is to be closed.
func (b *Backend) respond(c net.Conn, f Fault, token string, internal bool) bool {
	body := "for " + token
	if f == LongBody {
		body += strings.Repeat(".", longBodyBytes)
	}
	switch f {
	case Shed:
		_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nBackend-Shed: not-run\r\nContent-Length: 0\r\n\r\n")
		return true
	case UnavailableNotRun:
		_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return true
	case Slow:
		time.Sleep(SlowDelay)
	}
	b.countRun(token)
	switch f {
	case UnavailableAfterRun:
		_, _ = io.WriteString(c, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return true
	case CloseAfterRun:
		return false
	case Silent:
		_, _ = io.Copy(io.Discard, c)
		return false
	case ServerError:
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	case InvalidStatus:
		_, err := io.WriteString(c, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case InvalidAfterInterim:
		_, err := io.WriteString(c, "HTTP/1.1 103 x\r\n\r\nno head\r\n\r\n")
		return err == nil
	case InvalidField:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nTransfer-Encoding : chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		return false
	case Truncate:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])
		return false
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 x\r\n%sContent-Length: %d\r\n\r\n%s", b.signals(internal), len(body), body)
	if f == LateBytes {
		_, _ = io.WriteString(c, "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nother")
		return false
	}
	return err == nil
}
