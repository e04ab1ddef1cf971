package server

import (
	"sync"
	"time"
)

// unresponsivePeriod is how long a backend server that did not reply to a load query
// counts as unresponsive. Policy fresh ranks it after all others in this time.
const unresponsivePeriod = time.Second

// loadQuery tracks the load query in progress, so that concurrent decisions share
// it. Its zero value has none in progress.
type loadQuery struct {
	mu   sync.Mutex
	done chan struct{} // closed when the query ends; nil: none in progress
}

// BeginQuery begins a load query unless one is in progress. done is closed when the
// query ends. If isNew is true, the calling code must send the query and call
// EndQuery.
func (s *Server) BeginQuery() (done <-chan struct{}, isNew bool) {
	q := &s.loadQuery
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.done != nil {
		return q.done, false
	}
	q.done = make(chan struct{})
	return q.done, true
}

// EndQuery ends the load query in progress. ok says whether the backend server
// replied with its load; if not, it counts as unresponsive for one second.
func (s *Server) EndQuery(now time.Duration, ok bool) {
	if ok {
		s.downUntil.Store(0)
	} else {
		s.downUntil.Store(int64(now + unresponsivePeriod))
	}
	q := &s.loadQuery
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.done)
	q.done = nil
}

// IsUnresponsive reports whether the backend server did not reply to a recent load
// query.
func (s *Server) IsUnresponsive(at time.Duration) bool { return at < time.Duration(s.downUntil.Load()) }

// BegunSinceReport returns the number of attempts that this instance has begun
// since the last report, which does not include them.
func (s *Server) BegunSinceReport() int32 { return s.begunSinceReport.Load() }
