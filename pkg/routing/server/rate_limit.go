package server

import "time"

// RateLimit is the limit on requests that a backend server states in a response.
// It applies to the sum over all instances.
type RateLimit struct {
	Stated    bool    // false: the backend server takes any number of requests
	PerSecond float64 // requests per second, 0 or more
}

// statedRateLimit is a RateLimit with the time at which it was received.
type statedRateLimit struct {
	RateLimit
	at time.Duration
}

// RateLimit returns the rate limit that the backend server stated last, and the
// time since then.
func (s *Server) RateLimit(now time.Duration) (limit RateLimit, age time.Duration) {
	l := s.rateLimit.Load()
	if l == nil {
		return RateLimit{}, 0
	}
	return l.RateLimit, max(0, now-l.at)
}

// IsRateLimited reports whether the backend server states a rate limit. It is then
// usable only with a permit.
func (s *Server) IsRateLimited() bool { return s.rateLimit.Load() != nil }

// SetRateLimit sets the rate limit that a response states and reports whether it
// has changed. A changed limit revokes the permit.
func (s *Server) SetRateLimit(now time.Duration, l RateLimit) (changed bool) {
	var next *statedRateLimit
	if l.Stated {
		next = &statedRateLimit{l, now}
	}
	old := s.rateLimit.Swap(next)
	if old == nil && next == nil || old != nil && next != nil && old.RateLimit == l {
		return false
	}
	s.hasPermit.Store(false)
	s.updateUsable()
	return true
}

// GrantPermit permits one attempt at the rate-limited backend server.
func (s *Server) GrantPermit() {
	s.hasPermit.Store(true)
	s.updateUsable()
}

// RevokePermit withdraws the permit and reports whether it was unused.
func (s *Server) RevokePermit() (unused bool) {
	unused = s.hasPermit.Swap(false)
	s.updateUsable()
	return unused
}

// NeedsPermit reports whether the backend server is rate-limited and has no permit.
func (s *Server) NeedsPermit() bool { return !s.isPermitted() }

// isPermitted reports whether the rate limit, if there is one, permits an attempt.
func (s *Server) isPermitted() bool { return s.hasPermit.Load() || !s.IsRateLimited() }

// usePermit uses the permit of a rate-limited backend server. It returns false if
// there is none.
func (s *Server) usePermit() bool {
	return !s.IsRateLimited() || s.hasPermit.CompareAndSwap(true, false)
}
