package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the size of one page of a range read, as the platform's pages state it.
const (
	pageItems = 500
	pageBytes = 1_000_000
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"is-deleted,omitempty"`
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// event is a change of a key.
type event struct {
	item
	at time.Time
}

// store is a stand-in for the platform's metadata store: linearizable reads, one revision
// counter, long polls.
type store struct {
	server   *http.Server
	listener net.Listener

	staleness time.Duration // of stale reads

	mu       sync.Mutex
	items    map[string][]event // the versions of each key, the newest last
	history  []event
	revision uint64
	dropped  uint64 // history up to this revision is gone
	changed  chan struct{}
}

func newStore(ip string) *store {
	s := &store{items: map[string][]event{}, revision: 1, changed: make(chan struct{})}
	s.listener = listen(ip)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(s.listener) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key. Its return is the acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	versions := s.items[key]
	if len(versions) > 0 {
		created = versions[0].Created
	}
	now := time.Now()
	e := event{item{Key: key, Value: value, Revision: s.revision, Created: created}, now}
	for len(versions) > 1 && now.Sub(versions[1].at) > historyTime {
		versions = versions[1:]
	}
	s.items[key] = append(versions, e)
	s.history = append(s.history, e)
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		versions, at := s.items[q.Get("key")], s.revision
		s.mu.Unlock()
		if len(versions) == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		i := versions[len(versions)-1].item
		reply(w, struct {
			item
			AsOf uint64 `json:"as-of"`
		}{i, at})
	case "/api/kv-range":
		items, at := s.itemsAsOf(q.Get("path-prefix"), q.Get("after"), q.Get("is-stale") == "1")
		slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		n, size := 0, 0
		for n < len(items) && n < pageItems && (n == 0 || size+len(items[n].Value) <= pageBytes) {
			size += len(items[n].Value)
			n++
		}
		reply(w, map[string]any{"items": items[:n], "has-more": n < len(items), "as-of": at})
	case "/api/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// itemsAsOf returns the items with a prefix that follow a key, and their revision. Those of
// a stale read are staleness old, but no older than the start.
func (s *store) itemsAsOf(prefix, after string, isStale bool) (items []item, at uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := time.Now()
	if isStale {
		latest = latest.Add(-s.staleness)
	}
	items = []item{}
	for key, versions := range s.items {
		for i := len(versions) - 1; i >= 0; i-- {
			if v := versions[i]; !v.at.After(latest) {
				at = max(at, v.Revision)
				if strings.HasPrefix(key, prefix) && key > after {
					items = append(items, v.item)
				}
				break
			}
		}
	}
	return items, at
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait-ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i.item)
			}
		}
		at, changed, isGone := s.revision, s.changed, after < s.dropped
		s.mu.Unlock()
		if isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as-of": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "as-of": max(at, after)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails if the reader has gone
}
