package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

const (
	// reachChecks is the number of backend servers that are checked at once while
	// none is reached, and reachCheckInterval the time between two checks.
	reachChecks        = 3
	reachCheckInterval = 200 * time.Millisecond
)

// observeReach passes the result of an exchange with a backend server to the detector of
// cuts. failure is nil if the server has responded.
func (s *service) observeReach(server *routing.Server, failure *transport.Failure, isInternal bool) {
	now := s.now()
	switch {
	case server.IsEvacuated(): // says nothing about the backend servers in use
	case failure == nil:
		if s.reach.RecordResponse(now) {
			s.recorder.Record(eventServiceReached)
		}
	case failure.Kind == transport.Dial, failure.Kind == transport.Timeout && isInternal:
		if s.reach.RecordFailure(now, server.Key(), len(s.routingSet.Servers())) {
			s.recorder.Record(eventServiceUnreachable, events.F("error", failure.Error()))
		}
	}
}

// checkReach checks, while no backend server is reached, whether some respond again.
func (s *service) checkReach(ctx context.Context, running *sync.WaitGroup) {
	now := s.now()
	servers := s.routingSet.Servers()
	if !s.reach.IsCut() || now < s.nextReachCheck || len(servers) == 0 {
		return
	}
	s.nextReachCheck = now + reachCheckInterval
	for range min(reachChecks, len(servers)) {
		server := servers[rand.IntN(len(servers))]
		running.Go(func() { s.sendInternalRequest(ctx, server, s.settings.Load().Paths.Health) })
	}
}
