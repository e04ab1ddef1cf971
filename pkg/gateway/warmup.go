package gateway

import (
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ratelimit"
	"lentilpin/pkg/routing"
)

// configureWarmup applies the limit on requests to cold backend servers.
func (s *service) configureWarmup(settings *dynamic.Service) {
	w := settings.Warmup
	s.routingSet.LimitWarmups(s.now(), ratelimit.WarmupRate(w.PerSecond, w.Overshoot, w.Slack), time.Duration(w.Seconds*float64(time.Second)))
}

// observeWarmup records how long a backend server stays cold, as a response states it.
func (s *service) observeWarmup(server *routing.Server, left time.Duration, source string) {
	if !server.SetWarmupLeft(s.now(), left) {
		return
	}
	s.requestWarmupPermits()
	s.queue.Wake()
	s.recorder.Record(eventServerCold, events.F("backend", server.Key()), events.F("source", source),
		events.F("left_ms", left.Milliseconds()), events.F("per_second", s.settings.Load().Warmup.PerSecond))
}

// requestWarmupPermits requests permits if backend servers are limited because they are
// cold. A service without requests needs none.
func (s *service) requestWarmupPermits() {
	if !s.isIdle() && s.routingSet.ColdCount() > 0 {
		s.permits.Request(s.routingSet.PermitCandidates(), false)
	}
}
