package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/load/payload"
)

// Header fields between an entry and a backend server.
const (
	loadHeader     = "endpoint-load-metrics"
	stateHeader    = "Backend-State"
	shedHeader     = "Backend-Shed"
	timeoutHeader  = "Request-Timeout"
	exchangeHeader = "Lentilpin-Exchange"

	// OrderHeader carries the order ID. Without it, the request token identifies
	// the order, and without that the path.
	OrderHeader = "X-Order-Id"
)

const (
	maxBodyBytes       = 8 << 20
	latencyMeanDivisor = 8 // exponential moving average with a weight of 1/8 for the new sample
)

// errReadAbandoned is returned for a read whose context ended while it ran.
var errReadAbandoned = errors.New("read abandoned")

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/load" && r.Method == http.MethodGet:
		s.updateStats(func(st *Stats) { st.Probes++ })
		s.setReportHeaders(w)
		writeJSON(w, http.StatusOK, s.load())
	case r.URL.Path == "/health" && r.Method == http.MethodGet:
		s.updateStats(func(st *Stats) { st.HealthChecks++ })
		s.setReportHeaders(w)
		w.WriteHeader(s.health())
	default:
		s.serveRequest(w, r)
	}
}

// health returns the status of GET /health.
func (s *Server) health() int {
	f := s.Faults()
	if f.Health != 0 {
		return f.Health
	}
	if f.Drain {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// load returns the injected load report or, if there is none, the actual load.
func (s *Server) load() Load {
	if override := s.Faults().Load; override != nil {
		return *override
	}
	inflight, queued := s.slots.load()
	ms := float64(s.latency.Load()) / float64(time.Millisecond)
	return Load{Inflight: inflight, Queued: queued, Slots: s.config.Slots, LatencyMS: ms}
}

// setReportHeaders sets the response headers with the load report, in the TEXT
// format of ORCA (Open Request Cost Aggregation), and the drain state.
func (s *Server) setReportHeaders(w http.ResponseWriter) {
	l := s.load()
	w.Header().Set(loadHeader, fmt.Sprintf(
		"TEXT named_metrics.inflight=%d,named_metrics.queued=%d,named_metrics.latency_ms=%.3f,named_metrics.slots=%d",
		l.Inflight, l.Queued, l.LatencyMS, l.Slots))
	if s.Faults().Drain {
		w.Header().Set(stateHeader, "draining")
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // v always has a type that can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// serveRequest serves any request except GET /load and GET /health.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	f := s.Faults()
	s.updateStats(func(st *Stats) {
		st.Requests++
		if f.Drain {
			st.WhileDraining++
		}
	})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.CrashOn != "" && containsMarker(r, body, f.CrashOn) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if f.CloseAfterRead {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(exchangeHeader); id != "" {
		w.Header().Set(exchangeHeader, id)
	}
	if f.FailRatio > 0 && rand.Float64() < f.FailRatio {
		s.updateStats(func(st *Stats) { st.Failed++ })
		s.writeError(w, http.StatusInternalServerError, "failed by a fault")
		return
	}
	s.runInSlot(w, r, f, arrival)
}

// containsMarker reports whether the path, token or body contains marker.
func containsMarker(r *http.Request, body []byte, marker string) bool {
	return strings.Contains(r.URL.Path, marker) || strings.Contains(r.Header.Get(payload.TokenHeader), marker) ||
		strings.Contains(string(body), marker)
}

// writeError responds with a load report and a JSON error message.
func (s *Server) writeError(w http.ResponseWriter, status int, message string) {
	s.setReportHeaders(w)
	writeJSON(w, status, map[string]string{"error": message})
}

// shed responds with 503 and the statement that the request did not run.
func (s *Server) shed(w http.ResponseWriter, message string) {
	s.updateStats(func(st *Stats) { st.Shed++ })
	w.Header().Set(shedHeader, "not-run")
	s.writeError(w, http.StatusServiceUnavailable, message)
}

// runInSlot waits for a slot, runs the request and responds to it. A request that
// is shed did not run.
func (s *Server) runInSlot(w http.ResponseWriter, r *http.Request, f Faults, arrival time.Time) {
	ctx, cancel := requestContext(r, arrival)
	defer cancel()
	err := s.slots.acquire(ctx)
	if err == nil && ctx.Err() != nil {
		s.slots.release()
		err = ctx.Err()
	}
	switch {
	case errors.Is(err, errQueueFull):
		s.shed(w, "queue full")
		return
	case err != nil && r.Context().Err() == nil:
		s.shed(w, "deadline passed in the queue")
		return
	case err != nil:
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	err = s.execute(ctx, r, f)
	s.slots.release()
	s.observeLatency(time.Since(arrival))
	switch {
	case errors.Is(err, errReadAbandoned) && r.Context().Err() == nil:
		s.writeError(w, http.StatusGatewayTimeout, "deadline passed")
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		s.respond(w, r, f)
	}
}

// requestContext returns a context that ends at the deadline in the request
// header, counted from arrival, or when the caller disconnects.
func requestContext(r *http.Request, arrival time.Time) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), arrival.Add(time.Duration(ms)*time.Millisecond))
}

// observeLatency updates the moving average of the latency.
func (s *Server) observeLatency(d time.Duration) {
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(int64(d))
		return
	}
	s.latency.Store(old + (int64(d)-old)/latencyMeanDivisor)
}

// execute waits for the service time of the request. A read is abandoned when ctx
// ends; an order always runs to completion.
func (s *Server) execute(ctx context.Context, r *http.Request, f Faults) error {
	t := time.NewTimer(s.serviceTime(f))
	defer t.Stop()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.countRun(orderID(r))
		<-t.C
		return nil
	}
	select {
	case <-t.C:
		s.updateStats(func(st *Stats) { st.Reads++ })
		return nil
	case <-ctx.Done():
		s.updateStats(func(st *Stats) { st.Canceled++ })
		return errReadAbandoned
	}
}

// serviceTime returns a sample of the service time with the effects of the cold
// period and the faults.
func (s *Server) serviceTime(f Faults) time.Duration {
	d := float64(s.serviceTimes.Sample())
	if time.Since(s.started) < time.Duration(s.config.ColdMS)*time.Millisecond {
		d *= s.config.ColdFactor
	}
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	return time.Duration(d) + time.Duration(f.SlowAddMS)*time.Millisecond
}

func orderID(r *http.Request) string {
	if id := r.Header.Get(OrderHeader); id != "" {
		return id
	}
	return token(r)
}

// token returns the request token, or the path if the request has none.
func token(r *http.Request) string {
	if t := r.Header.Get(payload.TokenHeader); t != "" {
		return t
	}
	return r.URL.Path
}

// countRun counts the start of an order.
func (s *Server) countRun(order string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Orders++
	if s.runs[order] > 0 {
		s.stats.Repeated++
	}
	if s.runs[order] > 0 || len(s.runs) < maxTrackedOrders {
		s.runs[order]++
	}
}

// respond writes the response as altered by the faults f. The query parameter
// bytes overrides the configured body size.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	n := s.config.BodyBytes
	if v, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		n = v
	}
	body := payload.New(token(r), s.config.Name, n)
	s.setReportHeaders(w)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(hash(body), 16)))
	switch {
	case f.Truncate:
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body[:min(f.TruncateBytes, len(body)-1)])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case f.LateBytes:
		s.respondTwice(w, body, time.Duration(f.LateMS)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	}
}

func hash(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// respondTwice hijacks the connection, writes the response and, after delay, an
// unsolicited second response. It then discards input until the peer closes the
// connection.
func (s *Server) respondTwice(w http.ResponseWriter, body []byte, delay time.Duration) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	write := func(h http.Header, body []byte) {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
		_ = h.Write(nc)
		_, _ = fmt.Fprintf(nc, "\r\n%s", body)
	}
	write(w.Header(), body)
	select {
	case <-time.After(delay):
	case <-s.closing:
		return
	}
	late := payload.New("late", s.config.Name, 16)
	write(http.Header{"Content-Length": {strconv.Itoa(len(late))}}, late)
	_, _ = io.Copy(io.Discard, nc)
}
