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
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, fail := s.pool.Do(ctx, server.Address(), &transport.Request{
		Method: http.MethodGet, Target: loadPath, Host: server.Address(), Idempotent: true,
	})
	if fail != nil {
		s.noteDial(server, fail)
		return
	}
	_ = resp.Body.Close()
	if resp.Signals.HasReport {
		s.set.Probed(s.now(), server, resp.Signals.Report)
	}
	s.observe(server, resp.Signals)
}

// noteDial tells the quarantine list of a backend server that accepts no
// connection, which is the evidence that it crashed.
func (s *service) noteDial(server *routing.Server, fail *transport.Failure) {
	if fail.Kind == transport.Dial {
		s.quarantine.Failed(s.now(), server.Address())
	}
}

// loadPath is where a backend server reports its load.
const loadPath = "/load"
