package server

import (
	"sync"
	"time"
)

// mutePeriod is how long a backend server that did not reply to a load query
// counts as mute. Policies prefer those that reply.
const mutePeriod = time.Second

// loadQuery tracks the load query in progress, so that concurrent decisions share
// it. Its zero value has none in progress.
type loadQuery struct {
	mu   sync.Mutex
	done chan struct{} // closed when the query ends; nil: none in progress
}

// Ask begins a load query unless one is in progress. done is closed when the query
// ends. If isNew is true, the calling code must send the query and call Replied.
func (s *Server) Ask() (done <-chan struct{}, isNew bool) {
	q := &s.loadQuery
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.done != nil {
		return q.done, false
	}
	q.done = make(chan struct{})
	return q.done, true
}

// Replied ends the load query in progress. ok says whether the backend server
// replied with its load; if not, it counts as mute for one second.
func (s *Server) Replied(now time.Duration, ok bool) {
	if ok {
		s.muteUntil.Store(0)
	} else {
		s.muteUntil.Store(int64(now + mutePeriod))
	}
	q := &s.loadQuery
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.done)
	q.done = nil
}

// IsMute reports whether the backend server did not reply to a recent load query.
func (s *Server) IsMute(now time.Duration) bool { return now < time.Duration(s.muteUntil.Load()) }

// BegunSinceReport returns the number of attempts that this instance has begun
// since the last report, which does not include them.
func (s *Server) BegunSinceReport() int32 { return s.begunSinceReport.Load() }

// SetCold records that the backend server is slow for the time left because it has
// just started.
func (s *Server) SetCold(now, left time.Duration) { s.coldUntil.Store(int64(now + left)) }

// IsCold reports whether the backend server is slow because it has just started.
func (s *Server) IsCold(now time.Duration) bool { return now < time.Duration(s.coldUntil.Load()) }
