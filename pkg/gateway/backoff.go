package gateway

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
)

// backoffs holds the backend servers of a service that want no requests for some
// time. It is safe for concurrent use.
type backoffs struct {
	mu   sync.Mutex
	list []*routing.Server
}

// backOff stops requests to a backend server that has refused one for some time.
func (s *service) backOff(server *routing.Server, retryAfter time.Duration) {
	b := &s.backoffs
	b.mu.Lock()
	isNew := !slices.Contains(b.list, server)
	if isNew {
		b.list = append(b.list, server)
	}
	server.BackOff(s.now() + retryAfter)
	b.mu.Unlock()
	if isNew {
		s.recorder.Record(eventServerBackoff, events.F("backend", server.Key()), events.F("retry_after_ms", retryAfter.Milliseconds()))
	}
}

// endBackoffs ends the backoffs whose time has passed.
func (s *service) endBackoffs() {
	b := &s.backoffs
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = slices.DeleteFunc(b.list, func(server *routing.Server) bool { return server.EndBackoff(s.now()) == 0 })
}

// backoffLeft returns the shortest time until a backend server that is not in exclude
// wants requests again. It returns false if one of them is not backing off or there is none.
func (s *service) backoffLeft(exclude []*routing.Server) (shortest time.Duration, ok bool) {
	b := &s.backoffs
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 {
		return 0, false
	}
	for _, server := range s.routingSet.Servers() {
		if slices.Contains(exclude, server) || server.Weight() == 0 {
			continue
		}
		if !server.IsBackingOff() {
			return 0, false
		}
		left := server.EndBackoff(s.now())
		if !ok || left < shortest {
			shortest, ok = left, true
		}
	}
	return shortest, ok && shortest > 0
}

// refuseDuringBackoff returns a refusal if no backend server wants requests.
func (c *call) refuseDuringBackoff(exclude []*routing.Server) *result {
	left, ok := c.svc.backoffLeft(exclude)
	if !ok {
		return nil
	}
	res := notRunResult(http.StatusServiceUnavailable, reasonOverloaded, "all backend servers want no requests for some time").withRetryAfter()
	res.retryAfter = left
	return &res
}
