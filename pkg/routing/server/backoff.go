package server

import "time"

// BackOff makes the backend server unusable until a time: it has refused a request and
// wants no further ones. A backoff in progress is not shortened.
func (s *Server) BackOff(until time.Duration) {
	for {
		old := s.backoffUntil.Load()
		if old >= int64(until) || s.backoffUntil.CompareAndSwap(old, int64(until)) {
			break
		}
	}
	s.isBackingOff.Store(true)
	s.updateUsable()
}

// EndBackoff ends the backoff if its time has passed. It returns the time that is left.
func (s *Server) EndBackoff(now time.Duration) (left time.Duration) {
	if left = time.Duration(s.backoffUntil.Load()) - now; left > 0 {
		return left
	}
	s.isBackingOff.Store(false)
	s.updateUsable()
	return 0
}

// IsBackingOff reports whether the backend server wants no requests.
func (s *Server) IsBackingOff() bool { return s.isBackingOff.Load() }
