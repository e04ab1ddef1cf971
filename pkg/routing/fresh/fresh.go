// Package fresh is a policy for backend servers whose speed changes within the
// time between two requests. It queries a few candidates for their load right
// before each decision.
//
// A load query costs one round trip, far less than the request itself, and
// provides what no older report can: whether the backend server is alive, how
// many requests it holds and how slow its machine is at this moment. The policy
// follows the synchronous mode of Prequal (Wydrowski et al., "Load is not what you
// should balance", NSDI 2024), with two differences: the load report states the
// slowdown, so that no latency has to be learned, and backend servers of other
// failure domains are queried only if no reply of the own failure domain shows a
// low enough cost.
//
// An instance in a large fleet makes few requests, so that a connection to each
// backend server would exceed its idle timeout between two uses. An instance
// therefore takes its candidates from the few backend servers of lowest affinity
// (server.Server.Affinity), as in rendezvous hashing. If one of these is unusable,
// the next in order takes its place, and a backend server that joins becomes a
// candidate of its fair share of the instances.
//
// The cost of a candidate is its expected latency in units of the usual service
// time: the slowdown, multiplied by the wait that its requests cause, plus a
// penalty for leaving the failure domain. As a report ages, its weight decreases
// in favor of the mean over all backend servers.
//
// If even the lowest cost is above a maximum, no candidate is selected. Each further
// request would make all of them wait longer than their callers do; refused at once, it
// is known not to have run, and may be repeated.
package fresh

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lentilpin/pkg/routing/server"
)

const (
	// reportTimeConstant is the time constant with which the weight of a report
	// decays. The load of other processes on the same machine changes within a few
	// hundred milliseconds.
	reportTimeConstant = 150 * time.Millisecond
	// defaultSlots is the number of slots assumed if the report does not state it.
	defaultSlots = 6
	// occupancyCost is the relative increase of the cost when each slot holds one
	// request. It spreads work before backend servers are full, because some slow
	// down when they are nearly full and no report states this.
	occupancyCost = 0.6
	// coldFactor is the slowdown assumed while a backend server is cold.
	coldFactor = 2
	// limitedColdFactor applies instead where permits limit the requests to a cold backend
	// server. It ranks after a warm one of the same failure domain, and before those of
	// other failure domains.
	limitedColdFactor = 1.25
	// unresponsivePenalty is the cost added for a backend server that did not reply
	// to a recent load query. It ranks such backend servers after all others.
	unresponsivePenalty = 50
	// noReportPenalty is the cost added at selection for a backend server without a
	// report that is younger than maxSilence. Load queries are sent before the
	// selection, so a backend server that has not replied by then may be dead, or may
	// have left: its responses would say so, while the instance list is late.
	noReportPenalty = 10
	maxSilence      = 1500 * time.Millisecond
	// idleCost is the cost of an idle backend server at its usual speed.
	idleCost = 1
	// secondRoundMargin is the largest excess of the lowest known cost over idleCost
	// at which no further backend servers of the own failure domain are queried.
	secondRoundMargin = 0.6
	// remoteRoundMargin is the amount by which an idle backend server of another
	// failure domain, including the penalty, must be cheaper than the lowest known
	// cost before load queries to other failure domains are sent.
	remoteRoundMargin = 0.3
	// queryJitter is the range of the random cost added when candidates for load
	// queries are ranked, so that instances with the same information do not all
	// query the same backend servers.
	queryJitter = 0.5
	// selectionJitter is the range of the random cost added at selection, so that
	// instances with the same information do not all select the same backend server.
	selectionJitter = 0.05
	// maxHedgeOccupancy is the share of occupied slots up to which a backend server
	// gets hedges: some slow down when they are nearly full, and in an overload each
	// hedge delays another request.
	// maxHedgeSlowdown is the slowdown above which a backend server gets no hedges,
	// because the hedge would not finish before the first attempt.
	maxHedgeOccupancy = 0.8
	maxHedgeSlowdown  = 2
	// localSubsetSize and remoteSubsetSize are the numbers of candidates in the own
	// and in other failure domains.
	localSubsetSize  = 8
	remoteSubsetSize = 4
)

// Options are the settings of the policy.
type Options struct {
	MaxLoadQueries     int           // backend servers queried in one round, default 3
	MaxCost            float64       // cost above which no backend server is selected, default 4; 0: none
	CrossDomainPenalty float64       // cost of leaving the failure domain as a share of the usual service time, default 0.6
	MaxAge             time.Duration // age up to which a report is not queried again, default 100 ms
}

// Policy selects the candidate of lowest cost. It implements server.Policy,
// server.LoadQuerier and server.SpareCapacityChecker.
type Policy struct {
	options Options
	stats   *server.ServiceStats
}

// New returns a policy that reads the means over all backend servers from stats.
func New(o Options, stats *server.ServiceStats) *Policy { return &Policy{options: o, stats: stats} }

// candidateSet holds the candidates of one decision, those of the own failure
// domain first.
type candidateSet struct {
	servers    [maxCandidates]*server.Server
	localCount int // number of candidates in the own failure domain
	n          int // number of candidates
}

// Choose implements server.Policy.
func (p *Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	var candidates candidateSet
	candidates.fill(l, exclude)
	p.widen(now, &candidates, l, exclude)
	var best *server.Server
	lowest := math.Inf(1)
	for _, s := range candidates.servers[:candidates.n] {
		cost := p.cost(now, s) + selectionJitter*r.Float64()
		if _, age, known := s.Reported(now); !known || age > maxSilence {
			cost += noReportPenalty
		}
		if cost < lowest {
			best, lowest = s, cost
		}
	}
	if best != nil && p.options.MaxCost > 0 && p.isOverloaded(now, best) {
		return nil
	}
	return best
}

// isOverloaded reports whether a backend server that answers load queries has a cost
// above the maximum. The cost of one that does not answer says nothing about its load.
func (p *Policy) isOverloaded(now time.Duration, s *server.Server) bool {
	_, _, known := s.Reported(now)
	return known && !s.IsUnresponsive(now) && p.cost(now, s) > p.options.MaxCost
}

// LoadQueryTargets implements server.LoadQuerier.
func (p *Policy) LoadQueryTargets(now time.Duration, l *server.List, r *rand.Rand, round server.LoadQueryRound, exclude, out []*server.Server) []*server.Server {
	var candidates candidateSet
	candidates.fill(l, exclude)
	p.widen(now, &candidates, l, exclude)
	from, to := 0, candidates.localCount
	if round > server.LocalRound {
		costThreshold := idleCost + secondRoundMargin
		if round == server.RemoteRound {
			from, to = candidates.localCount, candidates.n
			costThreshold = idleCost + p.options.CrossDomainPenalty + remoteRoundMargin
		}
		if p.lowestReportedCost(now, candidates.servers[:candidates.localCount]) <= costThreshold {
			return out
		}
	}
	type candidate struct {
		s    *server.Server
		cost float64
	}
	var list [maxCandidates]candidate
	n := 0
	for _, s := range candidates.servers[from:to] {
		list[n] = candidate{s, p.cost(now, s) + queryJitter*r.Float64()}
		n++
	}
	slices.SortFunc(list[:n], func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	for _, c := range list[:min(n, p.options.MaxLoadQueries)] {
		if _, age, ok := c.s.Reported(now); !ok || age > p.options.MaxAge {
			out = append(out, c.s)
		}
	}
	return out
}

// HasSpareCapacity implements server.SpareCapacityChecker. It reports whether the
// backend server has reported its load recently and is neither unresponsive, slow nor
// nearly full, nor has just started.
func (p *Policy) HasSpareCapacity(now time.Duration, s *server.Server) bool {
	report, age, known := s.Reported(now)
	if !known || age > reportTimeConstant || s.IsUnresponsive(now) || s.IsCold(now) || report.Slowdown > maxHedgeSlowdown {
		return false
	}
	return float64(report.Load()+s.BegunSinceReport()+1) <= maxHedgeOccupancy*slotsOf(report)
}

// slotsOf returns the number of requests that a backend server can run at once.
func slotsOf(report server.Report) float64 {
	if report.Slots > 0 {
		return float64(report.Slots)
	}
	return defaultSlots
}

// fill adds the usable backend servers of lowest affinity.
func (c *candidateSet) fill(l *server.List, exclude []*server.Server) {
	c.addUsable(l, 0, l.Local(), localSubsetSize, exclude)
	c.localCount = c.n
	c.addUsable(l, l.Local(), l.Len(), remoteSubsetSize, exclude)
}

// addUsable adds the first n usable backend servers of the indexes [from, to) that
// are not in exclude. The local and the remote part of the list are each sorted by
// affinity.
func (c *candidateSet) addUsable(l *server.List, from, to, n int, exclude []*server.Server) {
	for i := from; i < to && n > 0; i++ {
		if s := l.At(i); l.Usable(i) && !server.Contains(exclude, s) {
			c.servers[c.n] = s
			c.n++
			n--
		}
	}
}

// lowestReportedCost returns the lowest cost of the servers that have a report, or
// +Inf. Servers without a report are ignored because Choose would not select them.
func (p *Policy) lowestReportedCost(now time.Duration, servers []*server.Server) float64 {
	out := math.Inf(1)
	for _, s := range servers {
		if _, _, known := s.Reported(now); known {
			out = min(out, p.cost(now, s))
		}
	}
	return out
}

// cost returns the expected latency of an attempt in units of the usual service
// time.
func (p *Policy) cost(now time.Duration, s *server.Server) float64 {
	report, age, known := s.Reported(now)
	reportWeight := 0.0
	if known {
		reportWeight = math.Exp(-float64(age) / float64(reportTimeConstant))
	}
	slots := slotsOf(report)
	load := reportWeight*float64(report.Load()) + (1-reportWeight)*p.stats.MeanLoad() + float64(s.BegunSinceReport())
	cost := p.slowdown(now, s, report, known, reportWeight)
	cost *= 1 + max(0, load+1-slots)/slots + occupancyCost*load/slots
	if !s.Local() {
		cost += p.options.CrossDomainPenalty
	}
	if s.IsUnresponsive(now) {
		cost += unresponsivePenalty
	}
	return cost
}

// slowdown returns the expected service time divided by the usual one. A backend
// server without a report counts as fast, so that a new one is queried soon.
func (p *Policy) slowdown(now time.Duration, s *server.Server, report server.Report, known bool, reportWeight float64) float64 {
	factor := float64(idleCost)
	if known && report.Slowdown > 0 {
		mean := max(idleCost, p.stats.MeanSlowdown())
		factor = reportWeight*report.Slowdown + (1-reportWeight)*mean
	}
	switch {
	case s.IsWarmupLimited():
		factor = max(factor, limitedColdFactor)
	case s.IsCold(now):
		factor = max(factor, coldFactor)
	}
	return factor
}
