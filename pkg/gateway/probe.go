package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/route"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

// sendProbes sends the probes that are due, within the probe budget.
func (s *service) sendProbes(ctx context.Context, running *sync.WaitGroup) {
	for {
		server, ok := s.prober.Next(s.now())
		if !ok {
			return
		}
		running.Go(func() { s.probeLoad(ctx, server) })
	}
}

// probeLoad requests the load of one backend server.
func (s *service) probeLoad(ctx context.Context, server *routing.Server) {
	if _, signals := s.sendInternalRequest(ctx, server, s.settings.Load().Paths.Load); signals.HasReport {
		s.routingSet.RecordProbeReply(s.now(), server, signals.Report)
	}
}

// checkEjected sends a health check to each ejected backend server once in
// healthPeriodMs. A failed check extends the ejection; a successful check does
// not end it early.
func (s *service) checkEjected(ctx context.Context, running *sync.WaitGroup) {
	now := s.now()
	if now < s.nextHealthCheck {
		return
	}
	for _, server := range s.routingSet.Servers() {
		if info, ok := s.outliers.ServerInfo(now, server.Key()); !ok || info.State != outlier.StateEjected {
			continue
		}
		// The period starts only when a check is sent. Otherwise a backend
		// server that is ejected right after a pass without checks could be
		// readmitted before the next pass.
		s.nextHealthCheck = now + dynamic.MillisToDuration(s.settings.Load().Outlier.HealthPeriodMS)
		running.Go(func() {
			status, _ := s.sendInternalRequest(ctx, server, s.settings.Load().Paths.Health)
			s.outliers.Health(s.now(), server.Key(), status == http.StatusOK)
		})
	}
}

// maxRateLimitAge is the age of the statement of a rate limit from which on a health
// check renews it: a backend server without a permit gets no load queries.
const maxRateLimitAge = 2 * time.Second

// checkRateLimited sends a health check to each rate-limited backend server that has
// sent no response for maxRateLimitAge, so that the end of the limit is noticed.
func (s *service) checkRateLimited(ctx context.Context, running *sync.WaitGroup) {
	now := s.now()
	for _, server := range s.routingSet.RateLimited() {
		if _, age := server.RateLimit(now); age >= maxRateLimitAge {
			running.Go(func() { s.sendInternalRequest(ctx, server, s.settings.Load().Paths.Health) })
		}
	}
}

// sendInternalRequest sends a load probe, a load query or a health check. The
// status is 0 if there was no response.
func (s *service) sendInternalRequest(ctx context.Context, server *routing.Server, path string) (status int, signals transport.Signals) {
	status, signals, _ = s.exchangeInternal(ctx, server, path, false)
	return status, signals
}

// exchangeInternal is sendInternalRequest, on a new connection if so required, and
// returns the failure. Nothing is sent to a backend server that wants no requests.
func (s *service) exchangeInternal(ctx context.Context, server *routing.Server, path string, onNewConnection bool) (status int, signals transport.Signals, failure *transport.Failure) {
	if server.IsBackingOff() || server.IsEvacuated() {
		return 0, transport.Signals{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, internalRequestTimeout)
	defer cancel()
	resp, failure := s.pool.Do(ctx, server.Address(), &transport.Request{
		Method: http.MethodGet, Target: route.EscapePath(path), Host: server.Address(), Idempotent: true,
		ExpectedInstance: server.ID(), Probe: true, NewConnection: onNewConnection,
		MayStart: func() bool { return s.isListCurrent() && !server.IsEvacuated() },
	})
	s.observeReach(server, failure, true)
	if failure != nil {
		s.recordDialFailure(server, failure)
		return 0, transport.Signals{}, failure
	}
	_ = resp.Body.Close()
	s.observeSignals(server, resp.Signals, sourceLoadQuery)
	return resp.Status, resp.Signals, nil
}

// recordDialFailure reports to the quarantine list that a backend server does
// not accept connections, which is evidence of a crash.
func (s *service) recordDialFailure(server *routing.Server, failure *transport.Failure) {
	if failure.Kind == transport.Dial {
		s.quarantine.Failed(s.now(), server.Address())
		s.spreadQuarantineNews()
	}
}
