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

	// OrderHeader identifies an order; without it the token does.
	OrderHeader = "X-Order-Id"
)

const (
	maxBodyBytes  = 8 << 20
	latencyWeight = 8 // of the moving mean: one part new to seven parts old
)

var errExpired = errors.New("deadline passed")

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/load" && r.Method == http.MethodGet:
		s.count(func(st *Stats) { st.Probes++ })
		s.signal(w)
		writeJSON(w, http.StatusOK, s.load())
	case r.URL.Path == "/health" && r.Method == http.MethodGet:
		s.count(func(st *Stats) { st.HealthChecks++ })
		s.signal(w)
		w.WriteHeader(s.health())
	default:
		s.business(w, r)
	}
}

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

func (s *Server) load() Load {
	if lie := s.Faults().Load; lie != nil {
		return *lie
	}
	inflight, queued := s.slots.load()
	ms := float64(s.latency.Load()) / float64(time.Millisecond)
	return Load{Inflight: inflight, Queued: queued, Slots: s.config.Slots, LatencyMS: ms}
}

// signal sets the load report and the drain state.
func (s *Server) signal(w http.ResponseWriter) {
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
		panic(err) // only own types are passed
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Server) business(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	f := s.Faults()
	s.count(func(st *Stats) {
		st.Requests++
		if f.Drain {
			st.WhileDraining++
		}
	})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.CrashOn != "" && matches(r, body, f.CrashOn) {
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
		s.count(func(st *Stats) { st.Failed++ })
		s.refuse(w, http.StatusInternalServerError, "failed by a fault")
		return
	}
	s.admit(w, r, f, arrival)
}

func matches(r *http.Request, body []byte, mark string) bool {
	return strings.Contains(r.URL.Path, mark) || strings.Contains(r.Header.Get(payload.TokenHeader), mark) ||
		strings.Contains(string(body), mark)
}

func (s *Server) refuse(w http.ResponseWriter, status int, text string) {
	s.signal(w)
	writeJSON(w, status, map[string]string{"error": text})
}

func (s *Server) shed(w http.ResponseWriter, text string) {
	s.count(func(st *Stats) { st.Shed++ })
	w.Header().Set(shedHeader, "not-run")
	s.refuse(w, http.StatusServiceUnavailable, text)
}

// admit waits for a slot and runs the request. Whatever is refused here was not
// run.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, f Faults, arrival time.Time) {
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
		panic(http.ErrAbortHandler) // nobody waits for a response
	}
	err = s.work(ctx, r, f)
	s.slots.release()
	s.observe(time.Since(arrival))
	switch {
	case errors.Is(err, errExpired) && r.Context().Err() == nil:
		s.refuse(w, http.StatusGatewayTimeout, "deadline passed")
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		s.respond(w, r, f)
	}
}

func requestContext(r *http.Request, arrival time.Time) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), arrival.Add(time.Duration(ms)*time.Millisecond))
}

func (s *Server) observe(d time.Duration) {
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(int64(d))
		return
	}
	s.latency.Store(old + (int64(d)-old)/latencyWeight)
}

// work takes the service time. A read is given up when its context ends; an
// order runs to its end.
func (s *Server) work(ctx context.Context, r *http.Request, f Faults) error {
	t := time.NewTimer(s.serviceTime(f))
	defer t.Stop()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.countRun(orderID(r))
		<-t.C
		return nil
	}
	select {
	case <-t.C:
		s.count(func(st *Stats) { st.Reads++ })
		return nil
	case <-ctx.Done():
		s.count(func(st *Stats) { st.Canceled++ })
		return errExpired
	}
}

func (s *Server) serviceTime(f Faults) time.Duration {
	d := float64(s.service.Sample())
	if time.Since(s.start) < time.Duration(s.config.ColdMS)*time.Millisecond {
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

func token(r *http.Request) string {
	if t := r.Header.Get(payload.TokenHeader); t != "" {
		return t
	}
	return r.URL.Path
}

func (s *Server) countRun(order string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Orders++
	if s.runs[order] > 0 {
		s.stats.Repeated++
	}
	if s.runs[order] > 0 || len(s.runs) < maxTrackedOrder {
		s.runs[order]++
	}
}

// respond writes the response, or less or more than it under a fault.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	n := s.config.BodyBytes
	if v, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil {
		n = v
	}
	body := payload.New(token(r), s.config.Name, n)
	s.signal(w)
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

// respondTwice takes the connection over, writes the response and after a while
// a second one that nobody asked for, and then only reads.
func (s *Server) respondTwice(w http.ResponseWriter, body []byte, after time.Duration) {
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
	case <-time.After(after):
	case <-s.wake:
		return
	}
	late := payload.New("late", s.config.Name, 16)
	write(http.Header{"Content-Length": {strconv.Itoa(len(late))}}, late)
	_, _ = io.Copy(io.Discard, nc)
}
