package gateway

import (
	"context"
	"sync"
	"time"
)

// dueServices returns the services that are handled in a tick.
func (s *snapshot) dueServices(tick int) []*service {
	n, i := len(s.list), tick%ticksPerRound
	return s.list[n*i/ticksPerRound : n*(i+1)/ticksPerRound]
}

// Run does the periodic work (weights, budgets, gauges, health checks and
// probes) until ctx is done.
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
			g.runPeriodic(ctx, tick, &probes)
		}
	}
}

// runPeriodic does the periodic work of the services that are due in a tick.
// While another instance uses the same ordinal, both would draw on one share of
// the probe budget, so no probes are sent.
func (g *Gateway) runPeriodic(ctx context.Context, tick int, probes *sync.WaitGroup) {
	suspended := g.options.OrdinalConflict()
	g.limits.reports.report(g.now(), g.options.Recorder)
	isSlowRound := tick/ticksPerRound%roundsPerIdleVisit == 0
	// Counting the instances walks the member table: once in a tick is enough.
	instances := sync.OnceValue(g.options.Instances)
	if isSlowRound && tick%ticksPerRound == 0 {
		g.fleetHedges.Report(g.options.Recorder, "")
	}
	for _, s := range g.current.Load().dueServices(tick) {
		s.checkReach(ctx, probes)
		idle := s.isIdle()
		if idle && !isSlowRound {
			continue
		}
		s.updateWeights()
		if !idle {
			s.permits.Request(s.routingSet.PermitCandidates(), false)
		}
		s.probeBudgets.Suspend(suspended)
		if isSlowRound {
			s.probeBudgets.Report(s.now(), g.options.Recorder, s.name)
			s.retryBudget.Instances(instances())
			s.retryBudget.Report(g.options.Recorder, s.name)
			s.rankStats.report(g.options.Recorder, s.name)
			s.hedges.budgets.Service.Report(g.options.Recorder, s.name)
			s.updateGauges()
			s.withdrawEvacuated()
			s.checkEjected(ctx, probes)
			s.checkRateLimited(ctx, probes)
		}
		if !idle && !s.routingSet.QueriesLoad() {
			s.sendProbes(ctx, probes)
		}
	}
}
