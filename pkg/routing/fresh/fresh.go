// Package fresh is a policy for backend servers whose speed changes between two
// requests: it asks a few candidates for their load right before each decision.
//
// A question costs one round trip, far less than the work itself, and answers
// what no older report can: whether the backend server is alive, how many
// requests it holds and how slow its machine is at this moment. It follows the
// synchronous mode of Prequal (Wydrowski et al., "Load is not what you should
// balance", NSDI 2024), with two differences: the load report states the
// slowdown, so that no latency has to be learned, and other failure domains are
// asked only where the replies of the own one promise too little.
//
// The cost of a candidate is its expected time in units of the usual service
// time: the slowdown, times the wait that its requests lead to, plus a price for
// leaving the failure domain. A report that gets old counts less and less in
// favour of the mean over all backend servers.
package fresh

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lentilpin/pkg/routing/server"
)

const (
	// ageTime is the time constant with which a report loses its weight. Work
	// of neighbours comes and goes within some hundred milliseconds.
	ageTime = 150 * time.Millisecond
	// defaultSlots is assumed where a report does not state the slots.
	defaultSlots = 6
	// busyShare is what one request in each slot adds to the cost, so that work
	// spreads before backend servers are full.
	busyShare = 0.15
	// coldFactor is the slowdown assumed while a backend server is cold.
	coldFactor = 2
	// muteCost keeps backend servers that do not reply behind all others.
	muteCost = 50
	// usualCost is that of an idle backend server at its usual speed.
	usualCost = 1
	// farMargin is by how much a far backend server must promise to be better
	// before it is worth a question.
	farMargin = 0.3
	// jitter breaks ties between candidates, so that instances with the same
	// knowledge do not all ask the same ones.
	jitter = 0.5
	// scanned is the number of backend servers, from a random start, that one
	// decision compares at most.
	scanned = 256
)

// Options are the settings of the policy.
type Options struct {
	MaxProbes          int           // backend servers asked at once, default 3
	CrossDomainPenalty float64       // price of leaving the failure domain as a share of the usual service time, default 0.6
	MaxAge             time.Duration // a report is not asked for again before this, default 100 ms
}

// Policy implements server.Policy and server.Asker.
type Policy struct {
	options Options
	shared  *server.Shared
}

// New returns the policy.
func New(o Options, shared *server.Shared) *Policy { return &Policy{options: o, shared: shared} }

// Choose implements server.Policy.
func (p *Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	var best *server.Server
	lowest := math.Inf(1)
	p.each(l, r, 0, l.Len(), exclude, func(s *server.Server) {
		if cost := p.cost(now, s) + 0.1*jitter*r.Float64(); cost < lowest {
			best, lowest = s, cost
		}
	})
	return best
}

// Ask implements server.Asker.
func (p *Policy) Ask(now time.Duration, l *server.List, r *rand.Rand, far bool, exclude, out []*server.Server) []*server.Server {
	from, to := 0, l.Local()
	if far {
		from, to = l.Local(), l.Len()
		if p.bestLocal(now, l, r, exclude) <= usualCost+p.options.CrossDomainPenalty+farMargin {
			return out
		}
	}
	type candidate struct {
		s    *server.Server
		cost float64
	}
	var list [scanned]candidate
	n := 0
	p.each(l, r, from, to, exclude, func(s *server.Server) {
		list[n] = candidate{s, p.cost(now, s) + jitter*r.Float64()}
		n++
	})
	slices.SortFunc(list[:n], func(a, b candidate) int {
		if a.cost < b.cost {
			return -1
		}
		return 1
	})
	for _, c := range list[:min(n, p.options.MaxProbes)] {
		if _, age, ok := c.s.Reported(now); !ok || age > p.options.MaxAge {
			out = append(out, c.s)
		}
	}
	return out
}

// each visits the usable backend servers of the indexes [from, to) that are not
// excluded, at most scanned of them.
func (p *Policy) each(l *server.List, r *rand.Rand, from, to int, exclude []*server.Server, visit func(*server.Server)) {
	n := to - from
	if n <= 0 {
		return
	}
	start := 0
	if n > scanned {
		start = r.IntN(n)
	}
	for k := range min(n, scanned) {
		i := from + (start+k)%n
		if s := l.At(i); l.Usable(i) && !server.Contains(exclude, s) {
			visit(s)
		}
	}
}

// bestLocal returns the lowest cost in the own failure domain.
func (p *Policy) bestLocal(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) float64 {
	lowest := math.Inf(1)
	p.each(l, r, 0, l.Local(), exclude, func(s *server.Server) {
		lowest = min(lowest, p.cost(now, s))
	})
	return lowest
}

// cost is the expected time of an attempt in units of the usual service time.
func (p *Policy) cost(now time.Duration, s *server.Server) float64 {
	report, age, known := s.Reported(now)
	trust := 0.0
	if known {
		trust = math.Exp(-float64(age) / float64(ageTime))
	}
	slots := float64(defaultSlots)
	if report.Slots > 0 {
		slots = float64(report.Slots)
	}
	load := trust*float64(report.Load()) + (1-trust)*p.shared.MeanLoad() + float64(s.BegunSinceReport())
	cost := p.slowdown(now, s, report, known, trust)
	cost *= 1 + max(0, load+1-slots)/slots + busyShare*load/slots
	if !s.Local() {
		cost += p.options.CrossDomainPenalty
	}
	if s.IsMute(now) {
		cost += muteCost
	}
	return cost
}

// slowdown is the factor on the usual service time. A backend server without any
// report counts as fast, so that a new one is asked soon.
func (p *Policy) slowdown(now time.Duration, s *server.Server, report server.Report, known bool, trust float64) float64 {
	factor := float64(usualCost)
	if known && report.Slowdown > 0 {
		mean := max(usualCost, p.shared.MeanSlowdown())
		factor = trust*report.Slowdown + (1-trust)*mean
	}
	if s.IsCold(now) {
		factor = max(factor, coldFactor)
	}
	return factor
}
