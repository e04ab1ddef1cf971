package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots     = 6
	queueSize = 24
	heartbeat = 1500 * time.Millisecond
	usualWork = 100 * time.Millisecond
	coldWork  = 2 // factor on the work of a cold backend server
)

// arrival is a request that a backend server has received and not answered with 421.
type arrival struct {
	at time.Time
	id string
}

// backend is a backend server: it runs some requests at a time, queues some more, tells its
// load, signs its responses, and is cold for a time after its start.
type backend struct {
	lab               *lab
	id, service, zone string
	server            *httptest.Server
	address           string
	born, coldUntil   time.Time
	slot              chan struct{}
	down              chan struct{} // closed when the backend server goes down

	mu               sync.Mutex
	running, waiting int
	arrivals         []arrival
	runs             map[string]int // by request ID
}

// startBackend starts a backend server and registers it.
func (l *lab) startBackend(id, service, zone string, cold time.Duration) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		lab: l, id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now(),
		slot: make(chan struct{}, slots), down: make(chan struct{}), runs: map[string]int{},
	}
	b.coldUntil = b.born.Add(cold)
	b.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: b}}
	b.server.Start()
	b.register()
	go b.beat()
	l.logf("backend %s of %s in %s at %s: up, cold for %s", id, service, zone, b.address, cold)
	return b, nil
}

// crash ends the backend server without a word. The store removes its entry after three
// heartbeat intervals of silence.
func (b *backend) crash() {
	b.close()
	b.lab.logf("backend %s: down", b.id)
	time.AfterFunc(3*heartbeat, func() { b.lab.store.Delete("servers/" + b.id) })
}

func (b *backend) close() {
	select {
	case <-b.down:
	default:
		close(b.down)
		_ = b.server.Listener.Close()
		b.server.CloseClientConnections()
	}
}

func (b *backend) register() {
	b.lab.store.Put("servers/"+b.id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":1,"warmup-left-ms":%d}}`,
		b.address, b.born.UnixMilli(), b.service, b.zone, slots, b.warmupLeft().Milliseconds()))
}

// beat renews the entry as long as more than its sequence number changes.
func (b *backend) beat() {
	for isCold := b.warmupLeft() > 0; isCold; {
		select {
		case <-b.down:
			return
		case <-time.After(heartbeat):
		}
		isCold = b.warmupLeft() > 0
		b.register()
	}
}

func (b *backend) warmupLeft() time.Duration { return max(0, time.Until(b.coldUntil)) }

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	w.Header().Set("Backend-Load", fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, slots))
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		w.Header().Set("Warmup-Ms", strconv.FormatInt(b.warmupLeft().Milliseconds(), 10))
		return
	}
	if !b.enqueue(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	b.begin(id, err == nil)
	defer b.end()
	if err != nil || !b.work(r) {
		panic(http.ErrAbortHandler)
	}
	answer := fmt.Sprintf("answer to %s of %d bytes by %s %s", id, len(body), b.id, strings.Repeat("x", 200))
	w.Header().Set("Backend-Signature", "sig."+b.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// enqueue records the arrival of a request and reports whether there is room for it.
func (b *backend) enqueue(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{time.Now(), id})
	if b.waiting >= queueSize {
		return false
	}
	b.waiting++
	return true
}

// begin waits for a slot. A request whose body has arrived whole runs from then on.
func (b *backend) begin(id string, isWhole bool) {
	b.slot <- struct{}{}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	b.running++
	if isWhole {
		b.runs[id]++
	}
}

func (b *backend) end() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	<-b.slot
}

// work does the work of a request, for the time that its query states. It returns false if
// the connection was closed meanwhile.
func (b *backend) work(r *http.Request) bool {
	work := usualWork
	if ms, err := strconv.Atoi(r.URL.Query().Get("work-ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if b.warmupLeft() > 0 {
		work *= coldWork
	}
	select {
	case <-time.After(work):
		return true
	case <-r.Context().Done():
		return false
	}
}

// hasRun reports whether the request has begun to run here.
func (b *backend) hasRun(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id] > 0
}
