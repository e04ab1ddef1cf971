package gateway

import (
	"context"
	"sync"
	"time"
)

// part returns the services whose turn is at a tick.
func (s *snapshot) part(tick int) []*service {
	n, i := len(s.list), tick%roundTicks
	return s.list[n*i/roundTicks : n*(i+1)/roundTicks]
}

// Run sweeps and probes until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.visit(ctx, tick, &probes)
		}
	}
}

// visit does the periodic work of the services whose turn it is. While another
// instance states the same ordinal, both would use one share of the probe
// budget, so none are sent.
func (g *Gateway) visit(ctx context.Context, tick int, probes *sync.WaitGroup) {
	suspended := g.o.OrdinalConflict()
	isSlowRound := tick/roundTicks%idleRounds == 0
	for _, s := range g.current.Load().part(tick) {
		idle := s.isIdle()
		if idle && !isSlowRound {
			continue
		}
		s.sweep()
		s.budgets.Suspend(suspended)
		if isSlowRound {
			s.budgets.Report(s.now(), g.o.Recorder, s.name)
			s.retries.Instances(g.o.Instances())
			s.retries.Report(g.o.Recorder, s.name)
			s.report()
			s.checkEjected(ctx, probes)
		}
		if !idle && !s.set.Asks() {
			s.sendProbes(ctx, probes)
		}
	}
}
