// Package store is a stand-in for the metadata store of the users' platform, for
// tests: keys with revisions, ranges in pages and waiting reads of changes, with
// the faults that such a store has.
//
// It speaks the published protocol only as far as a reader uses it. Writes are
// method calls, because the system never writes.
package store

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items on one page of a range. It is small, so that
// tests with few items read several pages.
const pageItems = 3

// Fault is how the store treats calls.
type Fault int

// Faults.
const (
	None   Fault = iota
	Busy         // 503
	Reset        // the connection is closed without a reply
	Silent       // no reply at all
	Deaf         // waiting reads hear of no change until they end
)

// Item is one key as it goes over the wire.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"is-deleted,omitempty"`
}

// Store is a running stand-in.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	oldest   uint64 // revisions up to this one are forgotten
	fault    Fault
	calls    map[string]int
	changed  chan struct{}
	done     chan struct{}
}

// New starts an empty store on a loopback address.
func New() *Store {
	s := &Store{
		items: map[string]Item{}, revision: 1, calls: map[string]int{},
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

// Address returns the IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Put writes a key.
func (s *Store) Put(key string, value []byte) {
	s.change(func() Item {
		created := s.revision
		if old, ok := s.items[key]; ok {
			created = old.Created
		}
		i := Item{Key: key, Value: value, Revision: s.revision, Created: created}
		s.items[key] = i
		return i
	})
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.change(func() Item {
		delete(s.items, key)
		return Item{Key: key, Revision: s.revision, Deleted: true}
	})
}

func (s *Store) change(do func() Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = append(s.history, do())
	s.wake()
}

// wake ends the waits for a change. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that reads of changes since then fail, and cuts
// the waiting ones if cut is set.
func (s *Store) Compact(cut bool) {
	s.mu.Lock()
	s.history, s.oldest = nil, s.revision
	s.mu.Unlock()
	if cut {
		s.server.CloseClientConnections()
	}
}

// SetFault changes how calls are treated from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of one path, for example "kv-watch".
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/api/")
	s.mu.Lock()
	s.calls[name]++
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Busy:
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
	case None, Deaf:
	}
	switch name {
	case "kv-key":
		s.key(w, r)
	case "kv-range":
		s.page(w, r)
	case "kv-watch":
		s.watch(w, r, fault == Deaf)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		Item
		AsOf uint64 `json:"as-of"`
	}{i, revision})
}

func (s *Store) page(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []Item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	reply(w, map[string]any{"items": items[:min(pageItems, len(items))], "has-more": more, "as-of": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, deaf bool) {
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
		lost := after < s.oldest
		found := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("path-prefix")) && !deaf {
				found = append(found, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		switch {
		case lost && !deaf:
			w.WriteHeader(http.StatusGone)
			return
		case len(found) > 0:
			reply(w, map[string]any{"events": found, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": found, "as-of": after})
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the reader may be gone
}
