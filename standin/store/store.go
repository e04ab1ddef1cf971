// Package store is a stand-in for the metadata store of the users' platform, for
// tests. It has keys with revisions, paged range reads and watches (long polls
// for changes), and it can inject faults.
//
// It implements only the part of the published protocol that a reader uses.
// Writes are method calls, because entries never write to the store.
package store

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the maximum number of items on one page of a range read. It is
// small, so that tests with few items read several pages.
const pageItems = 3

// Fault is the injected fault of the store.
type Fault int

// Injected faults.
const (
	NoFault      Fault = iota
	Unavailable        // every call gets 503
	Reset              // connections are closed without a reply
	Silent             // no call gets a reply
	StalledWatch       // watches return no events, only an empty reply at the end of their wait
)

// Item is a key with its value, or a change of one, in the JSON form of the
// protocol.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"is-deleted,omitempty"`
}

// Store is a running stand-in. It is safe for concurrent use.
type Store struct {
	server *httptest.Server

	mu          sync.Mutex
	items       map[string]Item
	history     []Item
	revision    uint64
	compacted   uint64 // the history up to this revision was dropped
	era         uint64 // rises with each restoration
	fault       Fault
	callsByName map[string]int
	changed     chan struct{}
	done        chan struct{}
}

// New starts an empty store on a loopback address.
func New() *Store {
	s := &Store{
		items: map[string]Item{}, revision: 1, era: 1, callsByName: map[string]int{},
		changed: make(chan struct{}), done: make(chan struct{}),
	}
	s.server = httptest.NewServer(s)
	return s
}

// Close stops the store.
func (s *Store) Close() {
	close(s.done)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns the address as IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Put writes a key and raises the revision by one.
func (s *Store) Put(key string, value []byte) {
	s.applyChange(func() Item {
		created := s.revision
		if old, ok := s.items[key]; ok {
			created = old.Created
		}
		item := Item{Key: key, Value: value, Revision: s.revision, Created: created}
		s.items[key] = item
		return item
	})
}

// Delete removes a key and raises the revision by one.
func (s *Store) Delete(key string) {
	s.applyChange(func() Item {
		delete(s.items, key)
		return Item{Key: key, Revision: s.revision, Deleted: true}
	})
}

// applyChange raises the revision, calls mutate with s.mu held and appends the
// returned item to the history.
func (s *Store) applyChange(mutate func() Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = append(s.history, mutate())
	s.notifyWatches()
}

// notifyWatches makes waiting watches check for new events. The caller holds
// s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that watches from an older revision get 410. If
// closeConnections is set, it also closes all connections and with them the
// waiting watches.
func (s *Store) Compact(closeConnections bool) {
	s.mu.Lock()
	s.history, s.compacted = nil, s.revision
	s.mu.Unlock()
	if closeConnections {
		s.server.CloseClientConnections()
	}
}

// Copy is a copy of the content of a store.
type Copy struct {
	items    map[string]Item
	history  []Item
	revision uint64
}

// Copy returns a copy of the current content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.items), slices.Clone(s.history), s.revision}
}

// Restore replaces the content by a copy and begins a new era. Later revisions are
// given out again. It closes all connections.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.era++
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// SetFault sets the injected fault of the calls that arrive from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of one operation, named by its path after
// /api/, for example "kv-watch".
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsByName[name]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/api/")
	s.mu.Lock()
	s.callsByName[name]++
	fault := s.fault
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	case NoFault, StalledWatch:
	}
	switch name {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.servePage(w, r)
	case "kv-watch":
		s.serveWatch(w, r, fault == StalledWatch)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		Item
		AsOf uint64 `json:"as-of"`
	}{item, revision})
}

func (s *Store) servePage(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > pageItems
	writeJSON(w, map[string]any{"items": items[:min(pageItems, len(items))], "has-more": hasMore, "as-of": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, stalled bool) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait-ms"))
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		historyLost := after < s.compacted || after > s.revision
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		events := []Item{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("path-prefix")) && !stalled {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case historyLost && !stalled:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "as-of": after})
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails if the reader has disconnected
}
