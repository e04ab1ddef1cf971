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
// An instance in a large fleet makes few requests, and a connection to each
// backend server would be idle for longer than it is kept. It therefore takes its
// candidates from the few that rank first by an order of its own
// (server.Affinity), as in rendezvous hashing: the others take over where one of
// these cannot be used, and one that joins is among the first of its share of
// the instances.
//
// The cost of a candidate is its expected time in units of the usual service
// time: the slowdown, times the wait that its requests lead to, plus a price for
// leaving the failure domain. A report that gets old counts less and less in
// favour of the mean over all backend servers.
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
	// ageTime is the time constant with which a report loses its weight. Work
	// of neighbours comes and goes within some hundred milliseconds.
	ageTime = 150 * time.Millisecond
	// defaultSlots is assumed where a report does not state the slots.
	defaultSlots = 6
	// busyShare is what one request in each slot adds to the cost, so that work
	// spreads before backend servers are full: some slow down when they are nearly
	// full, which no report states.
	busyShare = 0.6
	// coldFactor is the slowdown assumed while a backend server is cold.
	coldFactor = 2
	// muteCost keeps backend servers that do not reply behind all others.
	muteCost = 50
	// unknownCost is added to a choice without any report. The question went
	// out with all others, so a backend server without a reply may be dead.
	unknownCost = 10
	// usualCost is that of an idle backend server at its usual speed.
	usualCost = 1
	// againMargin is by how much the best reply may exceed the cost of an idle
	// backend server before others of the own failure domain are asked.
	againMargin = 0.6
	// farMargin is by how much a far backend server must promise to be better
	// before it is worth a question.
	farMargin = 0.3
	// jitter breaks ties between candidates, so that instances with the same
	// knowledge do not all ask the same ones.
	jitter = 0.5
	// tieBreak does the same for the choice among those whose load is known.
	tieBreak = 0.05
	// roomShare is the share of the slots up to which a backend server takes a
	// request that is sent twice: some slow down when they are nearly full, and in
	// an overload each hedge makes another request late. roomSlowdown is the
	// slowdown above which the second request would not overtake the first.
	roomShare    = 0.8
	roomSlowdown = 2
	// nearSubset and farSubset are the numbers of backend servers in the own and
	// in other failure domains that an instance chooses from.
	nearSubset = 8
	farSubset  = 4
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

// subset is the candidates of one decision.
type subset struct {
	servers [nearSubset + farSubset]*server.Server
	near    int // those of the own failure domain come first
	n       int
}

// Choose implements server.Policy.
func (p *Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	var set subset
	set.fill(l, exclude)
	var best *server.Server
	lowest := math.Inf(1)
	for _, s := range set.servers[:set.n] {
		cost := p.cost(now, s) + tieBreak*r.Float64()
		if _, _, known := s.Reported(now); !known {
			cost += unknownCost
		}
		if cost < lowest {
			best, lowest = s, cost
		}
	}
	return best
}

// Ask implements server.Asker.
func (p *Policy) Ask(now time.Duration, l *server.List, r *rand.Rand, round server.Round, exclude, out []*server.Server) []*server.Server {
	var set subset
	set.fill(l, exclude)
	from, to := 0, set.near
	if round > server.Near {
		enough := usualCost + againMargin
		if round == server.Far {
			from, to = set.near, set.n
			enough = usualCost + p.options.CrossDomainPenalty + farMargin
		}
		if p.lowest(now, set.servers[:set.near]) <= enough {
			return out
		}
	}
	type candidate struct {
		s    *server.Server
		cost float64
	}
	var list [nearSubset + farSubset]candidate
	n := 0
	for _, s := range set.servers[from:to] {
		list[n] = candidate{s, p.cost(now, s) + jitter*r.Float64()}
		n++
	}
	slices.SortFunc(list[:n], func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	for _, c := range list[:min(n, p.options.MaxProbes)] {
		if _, age, ok := c.s.Reported(now); !ok || age > p.options.MaxAge {
			out = append(out, c.s)
		}
	}
	return out
}

// HasRoom implements server.RoomJudge: the backend server has stated its load
// recently, is not slow, and is not nearly full.
func (p *Policy) HasRoom(now time.Duration, s *server.Server) bool {
	report, age, known := s.Reported(now)
	if !known || age > ageTime || s.IsMute(now) || report.Slowdown > roomSlowdown {
		return false
	}
	return float64(report.Load()+s.BegunSinceReport()+1) <= roomShare*slotsOf(report)
}

// slotsOf returns the requests that a backend server runs at once.
func slotsOf(report server.Report) float64 {
	if report.Slots > 0 {
		return float64(report.Slots)
	}
	return defaultSlots
}

// fill takes the usable backend servers of lowest affinity.
func (set *subset) fill(l *server.List, exclude []*server.Server) {
	set.take(l, 0, l.Local(), nearSubset, exclude)
	set.near = set.n
	set.take(l, l.Local(), l.Len(), farSubset, exclude)
}

// take adds up to n usable backend servers of the indexes [from, to). The list
// has each part in the order of affinity.
func (set *subset) take(l *server.List, from, to, n int, exclude []*server.Server) {
	for i := from; i < to && n > 0; i++ {
		if s := l.At(i); l.Usable(i) && !server.Contains(exclude, s) {
			set.servers[set.n] = s
			set.n++
			n--
		}
	}
}

// lowest returns the lowest cost of those whose load is known. One that is not
// known would not be chosen, so it promises nothing.
func (p *Policy) lowest(now time.Duration, servers []*server.Server) float64 {
	out := math.Inf(1)
	for _, s := range servers {
		if _, _, known := s.Reported(now); known {
			out = min(out, p.cost(now, s))
		}
	}
	return out
}

// cost is the expected time of an attempt in units of the usual service time.
func (p *Policy) cost(now time.Duration, s *server.Server) float64 {
	report, age, known := s.Reported(now)
	trust := 0.0
	if known {
		trust = math.Exp(-float64(age) / float64(ageTime))
	}
	slots := slotsOf(report)
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
