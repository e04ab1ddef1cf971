package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a backend has begun to run.
type run struct {
	at                       time.Time
	backend                  string
	id, method, target, body string
}

// backend is a stand-in for a backend of the platform. It answers as the pages say: it
// echoes the id, signs, reports its load, and rejects with 421 what another instance is
// expected to run.
type backend struct {
	id, service, zone string
	born              time.Time
	work              time.Duration
	record            *record
	listener          net.Listener

	mu     sync.Mutex
	seq    int
	active int
	runs   []run
}

func newBackend(rec *record, ip, id, service, zone string, work time.Duration) *backend {
	b := &backend{id: id, service: service, zone: zone, born: time.Now(), work: work, record: rec, listener: listen(ip)}
	server := &http.Server{Handler: b}
	go func() { _ = server.Serve(b.listener) }()
	return b
}

// beat writes the registration of the backend into the store.
func (b *backend) beat(s *store, state string) {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	b.mu.Unlock()
	s.put("servers/"+b.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":6},"status":{"state":%q,"seq":%d,"warmup-left-ms":0}}`,
		b.listener.Addr().String(), b.born.UnixMilli(), b.service, b.zone, state, seq))
}

// runsOf returns the requests that the backend has run.
func (b *backend) runsOf() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	h.Set("Backend-Load", fmt.Sprintf("%d,0,6,100", b.active))
	b.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.Set("Instance-Id", b.id)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	b.active++
	b.runs = append(b.runs, run{time.Now(), b.id, id, r.Method, r.RequestURI, string(body)})
	b.mu.Unlock()
	b.record.add("run        %s %s %s by %s (%s), body of %d bytes", id, r.Method, r.RequestURI, b.id, b.service, len(body))
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
	}
	b.mu.Lock()
	b.active--
	b.mu.Unlock()
	h.Set("Backend-Signature", "3e1b."+b.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}
