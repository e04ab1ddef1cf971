package server

import "time"

// RateLimit is the limit on requests that a backend server states in a response, or
// that applies because it is cold. It applies to the sum over all instances.
type RateLimit struct {
	Stated    bool    // false: the backend server takes any number of requests
	PerSecond float64 // requests per second, 0 or more
	Warmup    bool    // the backend server is cold; the limit ends when it is warm
	WasWarm   bool    // with Warmup: it was used before it turned cold
}

// statedRateLimit is a RateLimit with the time at which it was received.
type statedRateLimit struct {
	RateLimit
	at time.Duration
}

// RateLimit returns the limit in force: the one that the backend server stated last, or
// that of a cold one if it is lower; and the time since its statement.
func (s *Server) RateLimit(now time.Duration) (limit RateLimit, age time.Duration) {
	stated, cold := s.rateLimit.Load(), s.warmup.limit.Load()
	switch {
	case stated == nil && cold == nil:
		return RateLimit{}, 0
	case cold == nil:
		return stated.RateLimit, max(0, now-stated.at)
	}
	limit = RateLimit{Stated: true, PerSecond: cold.perSecond, Warmup: true, WasWarm: cold.wasWarm}
	if stated != nil && stated.PerSecond < cold.perSecond {
		limit.PerSecond = stated.PerSecond
	}
	return limit, max(0, now-cold.statedAt)
}

// IsRateLimited reports whether the backend server states a rate limit or is limited
// because it is cold. It is then usable only with a permit.
func (s *Server) IsRateLimited() bool { return s.StatesRateLimit() || s.IsWarmupLimited() }

// StatesRateLimit reports whether the backend server states a rate limit.
func (s *Server) StatesRateLimit() bool { return s.rateLimit.Load() != nil }

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

// GrantPermit permits one attempt at the rate-limited backend server until a time.
func (s *Server) GrantPermit(until time.Duration) {
	s.permitUntil.Store(int64(until))
	s.hasPermit.Store(true)
	s.updateUsable()
}

// HasExpiredPermit reports whether the backend server has a permit whose time has
// passed. The timer that revokes it is late after a pause of the process.
func (s *Server) HasExpiredPermit(now time.Duration) bool {
	return s.hasPermit.Load() && now > time.Duration(s.permitUntil.Load())
}

// HasPermit reports whether an attempt at the rate-limited backend server is permitted.
func (s *Server) HasPermit() bool { return s.hasPermit.Load() }

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
