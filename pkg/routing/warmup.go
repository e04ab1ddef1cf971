package routing

import "time"

// warmupLimit holds the parameters of server.Server.LimitWarmup.
type warmupLimit struct {
	perSecond float64
	longest   time.Duration
}

// LimitWarmups sets the requests per second that a cold backend server gets, over all
// instances, and the longest time for which the instance list can state that it is cold.
// 0: not limited.
func (s *Set) LimitWarmups(now time.Duration, perSecond float64, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := warmupLimit{perSecond, longest}
	if *s.warmup.Load() == next {
		return
	}
	s.warmup.Store(&next)
	for _, srv := range append(s.Evacuated(), s.Servers()...) {
		srv.LimitWarmup(now, perSecond, longest)
	}
}

// EndWarmups ends the limits of backend servers that are warm by now, and reports whether
// there were any.
func (s *Set) EndWarmups(now time.Duration) (ended bool) {
	if s.warmup.Load().perSecond <= 0 {
		return false
	}
	for _, srv := range s.Servers() {
		ended = srv.EndWarmup(now) || ended
	}
	return ended
}

// ColdCount returns the number of backend servers whose requests are limited because
// they are cold.
func (s *Set) ColdCount() (n int) {
	if s.warmup.Load().perSecond <= 0 {
		return 0
	}
	for _, srv := range s.Servers() {
		if srv.IsWarmupLimited() {
			n++
		}
	}
	return n
}
