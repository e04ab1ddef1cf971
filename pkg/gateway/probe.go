package gateway

import (
	"context"
	"net/http"
	"sync"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/transport"
)

// sendProbes sends the probes that are due; the budget bounds them.
func (s *service) sendProbes(ctx context.Context, running *sync.WaitGroup) {
	for {
		server, ok := s.prober.Next(s.now())
		if !ok {
			return
		}
		running.Go(func() { s.probe(ctx, server) })
	}
}

// probe asks one backend server for its load.
func (s *service) probe(ctx context.Context, server *routing.Server) {
	if _, signals := s.ask(ctx, server, s.settings.Load().Paths.Load); signals.HasReport {
		s.set.Probed(s.now(), server, signals.Report)
	}
}

// checkAlive asks whether a backend server accepts requests. It follows a broken
// connection, so that its number is bounded by that of failed attempts; it is
// no measurement of load and draws on no probe budget.
func (s *service) checkAlive(server *routing.Server) {
	s.ask(context.Background(), server, s.settings.Load().Paths.Health)
}

// checkEjected asks the ejected backend servers for their health, each once in
// healthPeriodMs. One that says it is ill stays ejected for longer; one that
// says it is well is not believed before its time is over.
func (s *service) checkEjected(ctx context.Context, running *sync.WaitGroup) {
	now := s.now()
	if now < s.nextHealth {
		return
	}
	for _, server := range s.set.Servers() {
		if info, ok := s.outliers.Info(now, server.Key()); !ok || info.State != outlier.Ejected {
			continue
		}
		// Only a question that is sent starts the period: a backend server that
		// is ejected right after an idle look would otherwise be readmitted
		// before the next one.
		s.nextHealth = now + dynamic.MS(s.settings.Load().Outlier.HealthPeriodMS)
		running.Go(func() {
			status, _ := s.ask(ctx, server, s.settings.Load().Paths.Health)
			s.outliers.Health(s.now(), server.Key(), status == http.StatusOK)
		})
	}
}

// ask sends a request of the entry's own. The status is 0 without a response.
func (s *service) ask(ctx context.Context, server *routing.Server, path string) (status int, signals transport.Signals) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, fail := s.pool.Do(ctx, server.Address(), &transport.Request{
		Method: http.MethodGet, Target: path, Host: server.Address(), Idempotent: true,
		Instance: server.ID(), Probe: true,
	})
	if fail != nil {
		s.noteDial(server, fail)
		return 0, transport.Signals{}
	}
	_ = resp.Body.Close()
	s.observe(server, resp.Signals)
	return resp.Status, resp.Signals
}

// noteDial tells the quarantine list of a backend server that accepts no
// connection, which is the evidence that it crashed.
func (s *service) noteDial(server *routing.Server, fail *transport.Failure) {
	if fail.Kind == transport.Dial {
		s.quarantine.Failed(s.now(), server.Address())
	}
}
