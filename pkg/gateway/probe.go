package gateway

import (
	"context"
	"net/http"
	"sync"

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
	if signals, ok := s.ask(ctx, server, loadPath); ok && signals.HasReport {
		s.set.Probed(s.now(), server, signals.Report)
	}
}

// checkAlive asks whether a backend server accepts requests. It follows a broken
// connection, so that its number is bounded by that of failed attempts; it is
// no measurement of load and draws on no probe budget.
func (s *service) checkAlive(server *routing.Server) {
	s.ask(context.Background(), server, healthPath)
}

func (s *service) ask(ctx context.Context, server *routing.Server, path string) (transport.Signals, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, fail := s.pool.Do(ctx, server.Address(), &transport.Request{
		Method: http.MethodGet, Target: path, Host: server.Address(), Idempotent: true,
	})
	if fail != nil {
		s.noteDial(server, fail)
		return transport.Signals{}, false
	}
	_ = resp.Body.Close()
	s.observe(server, resp.Signals)
	return resp.Signals, true
}

// noteDial tells the quarantine list of a backend server that accepts no
// connection, which is the evidence that it crashed.
func (s *service) noteDial(server *routing.Server, fail *transport.Failure) {
	if fail.Kind == transport.Dial {
		s.quarantine.Failed(s.now(), server.Address())
	}
}

// Paths of a backend server besides those of its service.
const (
	loadPath   = "/load"
	healthPath = "/health"
)
