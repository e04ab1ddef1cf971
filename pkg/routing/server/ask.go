package server

import (
	"sync"
	"time"
)

// muteFor is how long a backend server that did not reply to a question is passed
// over while others reply.
const muteFor = time.Second

// question is the question for the load that is under way. Its zero value is none.
type question struct {
	mu      sync.Mutex
	replied chan struct{} // nil: none is under way
}

// Ask begins a question for the load unless one is under way. replied is closed
// when it ends; isNew says that the caller has to ask and to call Replied.
func (s *Server) Ask() (replied <-chan struct{}, isNew bool) {
	q := &s.question
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.replied != nil {
		return q.replied, false
	}
	q.replied = make(chan struct{})
	return q.replied, true
}

// Replied ends the question. Without a reply the backend server is passed over for
// a while.
func (s *Server) Replied(now time.Duration, ok bool) {
	if ok {
		s.mute.Store(0)
	} else {
		s.mute.Store(int64(now + muteFor))
	}
	q := &s.question
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.replied)
	q.replied = nil
}

// IsMute reports whether the backend server did not reply to a recent question.
func (s *Server) IsMute(now time.Duration) bool { return now < time.Duration(s.mute.Load()) }

// BegunSinceReport returns the attempts of this instance that the last report
// does not contain.
func (s *Server) BegunSinceReport() int32 { return s.begun.Load() }

// SetCold states how much longer the backend server is slow after its start.
func (s *Server) SetCold(now, left time.Duration) { s.coldTill.Store(int64(now + left)) }

// IsCold reports whether the backend server is slow because it has just started.
func (s *Server) IsCold(now time.Duration) bool { return now < time.Duration(s.coldTill.Load()) }
