package gateway

import (
	"slices"
	"strings"

	"lentilpin/pkg/operator"
	"lentilpin/pkg/retry"
)

// Backends describes the backend servers of a service for operators, sorted by
// address. It returns false if the service does not exist.
func (g *Gateway) Backends(service string) ([]operator.Backend, bool) {
	s := g.service(service)
	if s == nil {
		return nil, false
	}
	now := g.now()
	out := []operator.Backend{}
	for _, server := range s.routingSet.Servers() {
		info, _ := s.outliers.ServerInfo(now, server.Key())
		out = append(out, operator.DescribeBackend(s.routingSet.Explain(now, server.Key()), info))
	}
	out = append(out, s.evacuatedBackends()...)
	slices.SortFunc(out, func(a, b operator.Backend) int { return strings.Compare(a.Address, b.Address) })
	return out, true
}

// DrainMarks returns the drain marks in force.
func (g *Gateway) DrainMarks() []operator.DrainMark {
	out := []operator.DrainMark{}
	now := g.now()
	for _, s := range g.current.Load().list {
		for _, m := range s.outliers.ActiveDrainMarks(now) {
			out = append(out, operator.DrainMark{Service: s.name, Address: m.Address, Source: m.Source, Age: now - m.SignaledAt})
		}
	}
	return out
}

// Measuring returns the load probes of each service and their budgets.
func (g *Gateway) Measuring() []operator.Measuring {
	out := []operator.Measuring{}
	for _, s := range g.current.Load().list {
		out = append(out, operator.DescribeMeasuring(s.name, g.start, s.settings.Load(), s.probeBudgets))
	}
	return out
}

// Hedges returns the hedges of each service and their budgets.
func (g *Gateway) Hedges() []operator.Hedges {
	out := []operator.Hedges{}
	for _, s := range g.current.Load().list {
		settings, h := s.settings.Load(), s.hedges
		view := operator.Hedges{
			Service: s.name, Since: g.start, HedgeRatio: settings.Retry.HedgeRatio, FleetHedgeRatio: settings.Retry.FleetHedgeRatio,
			Requests: h.requests.Load(), Sent: h.decisions[retry.HedgeSent].count.Load(),
			Won: h.won.count.Load(), Canceled: h.canceled.count.Load(), Refused: map[string]uint64{},
		}
		for d := retry.HedgeSent + 1; d < retry.HedgeDecisionCount; d++ {
			view.Refused[d.String()] = h.decisions[d].count.Load()
		}
		out = append(out, view)
	}
	return out
}
