package measure

import (
	"math/rand/v2"
	"sync"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

const (
	// ProbeBytes is the assumed size of a probe with its reply.
	ProbeBytes = 300
	// candidates is the number of backend servers, from a random start, that one
	// call of Next compares, so that its cost does not depend on their number.
	candidates = 8
	// maxDebt bounds the probes owed to a policy that wants probes for each
	// request, so that a pause leads to no burst.
	maxDebt = 16
)

// Taker grants probes.
type Taker interface {
	Take(now time.Duration, s *routing.Server, bytes int) bool
}

// Prober decides when and whom to probe. The caller sends the probe and hands
// the reply to Set.Probed.
type Prober struct {
	set    *routing.Set
	budget Taker

	mu       sync.Mutex
	rand     *rand.Rand
	requests uint64
	debt     float64
}

// NewProber returns a prober over the backend servers of set.
func NewProber(set *routing.Set, budget Taker, seed uint64) *Prober {
	return &Prober{set: set, budget: budget, rand: rand.New(rand.NewPCG(seed, 0x70726f6265))}
}

// Next returns the backend server to probe now; false: none. It is called
// after each request and on a timer of a few milliseconds, until it returns
// false.
//
// A backend server is worth a probe where its last report is older than
// reportMaxAgeMs and no probe was sent within that time. Of the
// candidates that are, those of the own failure domain go first, then those
// whose report says little load: a stale report of low load attracts work,
// while one of high load merely keeps work away.
func (p *Prober) Next(now time.Duration) (*routing.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := p.set.Servers()
	if len(servers) == 0 {
		return nil, false
	}
	var s *routing.Server
	if rate := p.set.ProbesPerRequest(); rate > 0 {
		s = p.owed(servers, rate)
	} else {
		s = p.stale(now, servers)
	}
	if s == nil || !p.budget.Take(now, s, ProbeBytes) {
		return nil, false
	}
	s.Probing(now)
	return s, true
}

// owed returns a random backend server while probes are owed for requests.
func (p *Prober) owed(servers []*routing.Server, rate float64) *routing.Server {
	n := p.set.Requests()
	p.debt = min(maxDebt, p.debt+rate*float64(n-p.requests))
	p.requests = n
	if p.debt < 1 {
		return nil
	}
	p.debt--
	return servers[p.rand.IntN(len(servers))]
}

func (p *Prober) stale(now time.Duration, servers []*routing.Server) *routing.Server {
	maxAge := dynamic.MS(p.set.Settings().Routing.ReportMaxAgeMS)
	var best *routing.Server
	var least float64
	start := p.rand.IntN(len(servers))
	for k := range min(candidates, len(servers)) {
		s := servers[(start+k)%len(servers)]
		r, age, ok := s.Reported(now)
		if s.Weight() == 0 || (ok && age <= maxAge) {
			continue
		}
		if since, probed := s.ProbeAge(now); probed && since <= maxAge {
			continue
		}
		rank := float64(r.Load())
		if !s.Local() {
			rank += 1e6
		}
		if best == nil || rank < least {
			best, least = s, rank
		}
	}
	return best
}
