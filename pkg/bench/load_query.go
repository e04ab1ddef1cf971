package bench

import (
	"time"

	"lentilpin/pkg/measure"
	"lentilpin/pkg/routing"
)

// queryLoads queries the backend servers whose load the policy needs, as package
// gateway does, and calls then. It calls then at once if the policy sends no load
// queries, or the budget of load queries allows none before this decision.
func (e *entry) queryLoads(exclude []*routing.Server, then func()) {
	if !e.routingSet.QueriesLoad() || e.rand.Float64() >= e.queryShare() {
		then()
		return
	}
	e.queryDecisions++
	e.queryRound(routing.LocalRound, exclude, then)
}

func (e *entry) queryShare() float64 {
	perDecision := float64(e.queriesSent) / float64(max(1, e.queryDecisions))
	return measure.LoadQueryShare(e.simulation.settings.Measuring.LoadQueriesPerBackend, perDecision, e.routingSet.MeanLoad(), e.routingSet.MeanLatency())
}

func (e *entry) queryRound(round routing.LoadQueryRound, exclude []*routing.Server, then func()) {
	for ; round < routing.RoundCount; round++ {
		targets := e.routingSet.LoadQueryTargets(e.simulation.loop.now, round, exclude, nil)
		if len(targets) == 0 {
			continue
		}
		timeout := localQueryTimeout
		if round == routing.RemoteRound {
			timeout = remoteQueryTimeout
		}
		e.queryAll(targets, timeout, func() { e.queryRound(round+1, exclude, then) })
		return
	}
	then()
}

// queryAll queries the load of backend servers and calls then when all have replied or
// the timeout has passed.
func (e *entry) queryAll(targets []*routing.Server, timeout time.Duration, then func()) {
	missing, called := len(targets), false
	finish := func() {
		if !called {
			called = true
			then()
		}
	}
	for _, s := range targets {
		e.queryLoad(s, func() {
			if missing--; missing == 0 {
				finish()
			}
		})
	}
	e.simulation.loop.after(timeout, finish)
}

// queryLoad queries the load of one backend server. A query in progress is shared.
func (e *entry) queryLoad(s *routing.Server, then func()) {
	sim := e.simulation
	_, isNew := s.BeginQuery()
	e.queryWaiters[s] = append(e.queryWaiters[s], then)
	if !isNew {
		return
	}
	e.queriesSent++
	sim.result.LoadQueries++
	target := sim.backendsByAddress[s.Address()]
	if e.isCrossDomain(target) {
		sim.result.CrossDomainBytes += measure.ProbeBytes
	}
	sim.result.Bytes += measure.ProbeBytes
	sim.loop.after(sim.network.delay(sim.loop.now, e.domain, target.domain), func() {
		report := target.report()
		sim.loop.after(sim.network.delay(sim.loop.now, e.domain, target.domain), func() {
			s.RecordReport(sim.loop.now, report, 0)
			s.EndQuery(sim.loop.now, true)
			waiters := e.queryWaiters[s]
			delete(e.queryWaiters, s)
			for _, waiter := range waiters {
				waiter()
			}
		})
	})
}
