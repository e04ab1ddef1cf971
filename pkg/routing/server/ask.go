package server

import "time"

const (
	// muteFor is how long a backend server that did not reply to a question is
	// passed over while others reply.
	muteFor = time.Second
	// askRepeat is when a question that had no reply may be repeated.
	askRepeat = 100 * time.Millisecond
)

// Ask notes that a question for the load is sent now. It returns false where one
// is under way.
func (s *Server) Ask(now time.Duration) bool {
	at := s.asking.Load()
	if at != 0 && now-time.Duration(at-1) < askRepeat {
		return false
	}
	return s.asking.CompareAndSwap(at, int64(now)+1)
}

// Replied ends a question. Without a reply the backend server is passed over for
// a while.
func (s *Server) Replied(now time.Duration, ok bool) {
	s.asking.Store(0)
	if ok {
		s.mute.Store(0)
		return
	}
	s.mute.Store(int64(now + muteFor))
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
