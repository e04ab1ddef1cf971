package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// sameWarmupTolerance is the largest difference between the ends that two versions of
// the instance list state for the same warm-up. They are computed from different clock
// readings.
const sameWarmupTolerance = 100 * time.Millisecond

// warmup is the state of a backend server that is cold for some time after its start,
// or says so later. Its zero value is warm and without a limit.
type warmup struct {
	mu          sync.Mutex
	perSecond   float64                     // requests per second while cold, over all instances; 0: not limited; under mu
	longest     time.Duration               // longest warm-up; 0: not known; under mu
	coldUntil   atomic.Int64                // time until which the backend server counts as cold
	coldSince   atomic.Int64                // start of the limit in force
	listedUntil time.Duration               // latest end that the instance list has stated; under mu
	limit       atomic.Pointer[warmupLimit] // nil: not in force
}

// warmupLimit is the limit of a cold backend server.
type warmupLimit struct {
	perSecond float64
	statedAt  time.Duration // of the latest statement that the backend server is cold
	wasWarm   bool          // the backend server was used before it turned cold
}

// LimitWarmup sets the requests per second that the backend server gets while it is cold,
// over all instances, and the longest time for which the instance list can state that it
// is. 0: not limited.
func (s *Server) LimitWarmup(now time.Duration, perSecond float64, longest time.Duration) {
	w := &s.warmup
	w.mu.Lock()
	defer w.mu.Unlock()
	w.perSecond, w.longest = perSecond, longest
	s.updateWarmupLimit(now, now)
}

// SetCold records that the instance list states that the backend server is cold for the
// time left. Where its requests are limited, only a statement of another end than in the
// list before counts, and it never shortens the time, because a response may have
// stated another one since.
func (s *Server) SetCold(now, left time.Duration) {
	w := &s.warmup
	w.mu.Lock()
	defer w.mu.Unlock()
	until := now + left
	if w.perSecond <= 0 {
		w.coldUntil.Store(int64(until))
		return
	}
	if d := until - w.listedUntil; d >= -sameWarmupTolerance && d <= sameWarmupTolerance {
		return
	}
	w.listedUntil = until
	if w.longest > 0 {
		until = min(until, now+w.longest)
	}
	if until > time.Duration(w.coldUntil.Load()) {
		w.coldUntil.Store(int64(until))
	}
	s.updateWarmupLimit(now, now)
}

// SetWarmupLeft records that a response states that the backend server is cold for the
// time left, or warm if that is 0, and reports whether the backend server has turned
// cold. It has no effect if the requests to a cold backend server are not limited.
func (s *Server) SetWarmupLeft(now, left time.Duration) (turnedCold bool) {
	w := &s.warmup
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.perSecond <= 0 {
		return false
	}
	wasLimited := w.limit.Load() != nil
	w.coldUntil.Store(int64(now + left))
	s.updateWarmupLimit(now, now)
	return !wasLimited && w.limit.Load() != nil
}

// EndWarmup ends the limit if the backend server is warm by now, and reports whether it
// did.
func (s *Server) EndWarmup(now time.Duration) bool {
	w := &s.warmup
	if w.limit.Load() == nil || s.IsCold(now) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.updateWarmupLimit(now, now)
	return w.limit.Load() == nil
}

// IsCold reports whether the backend server is cold.
func (s *Server) IsCold(now time.Duration) bool { return s.WarmupLeft(now) > 0 }

// WarmupLeft returns how long the backend server is still cold; 0: it is warm.
func (s *Server) WarmupLeft(now time.Duration) time.Duration {
	return max(0, time.Duration(s.warmup.coldUntil.Load())-now)
}

// IsWarmupLimited reports whether requests need a permit because the backend server is
// cold.
func (s *Server) IsWarmupLimited() bool { return s.warmup.limit.Load() != nil }

// HasTurnedCold reports whether the backend server has begun to be limited as a cold one
// after a point in time.
func (s *Server) HasTurnedCold(after time.Duration) bool {
	return s.IsWarmupLimited() && time.Duration(s.warmup.coldSince.Load()) > after
}

// updateWarmupLimit puts the limit in force or ends it. A limit that begins, ends or
// changes revokes the permit. The caller holds s.warmup.mu.
func (s *Server) updateWarmupLimit(now, statedAt time.Duration) {
	w := &s.warmup
	old := w.limit.Load()
	var next *warmupLimit
	if w.perSecond > 0 && now < time.Duration(w.coldUntil.Load()) {
		next = &warmupLimit{perSecond: w.perSecond, statedAt: statedAt}
		if old == nil {
			next.wasWarm = s.Picks() > 0
			w.coldSince.Store(int64(now))
		} else {
			next.wasWarm = old.wasWarm
		}
	}
	w.limit.Store(next)
	if (old == nil) == (next == nil) && (old == nil || old.perSecond == next.perSecond) {
		return
	}
	s.hasPermit.Store(false)
	s.updateUsable()
}
