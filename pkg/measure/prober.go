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
	// maxCandidates is the number of backend servers, from a random index, that
	// one call of Next compares, so that its cost does not depend on their
	// number.
	maxCandidates = 8
	// maxOwedProbes limits the pending probes of a policy that wants probes for
	// each request, so that a pause causes no burst.
	maxOwedProbes = 16
)

// ProbeLimiter limits the rate of probes. Take reports whether a probe of the given
// size in bytes may be sent to s now, and charges it if so.
type ProbeLimiter interface {
	Take(now time.Duration, s *routing.Server, bytes int) bool
}

// Prober decides when to probe which backend server. The code that calls it sends
// the probe and passes the reply to Set.RecordProbeReply.
type Prober struct {
	routingSet *routing.Set
	budget     ProbeLimiter

	mu              sync.Mutex
	rand            *rand.Rand
	countedRequests uint64
	owedProbes      float64
}

// NewProber returns a Prober for the backend servers of routingSet. The seed is that
// of its random choices.
func NewProber(routingSet *routing.Set, budget ProbeLimiter, seed uint64) *Prober {
	return &Prober{routingSet: routingSet, budget: budget, rand: rand.New(rand.NewPCG(seed, 0x70726f6265))}
}

// Next returns the backend server to probe now, or false if there is none or the
// budget refuses the probe. It is called after each request and every few
// milliseconds, each time until it returns false.
//
// If the policy wants probes for each request, a random backend server is chosen
// while such probes are pending. Otherwise a backend server is a candidate if its
// weight is not 0, it has no report younger than reportMaxAgeMs and no probe was
// sent to it within that time. Candidates in the failure domain of this instance
// come first, then those with the lowest reported load: an outdated report of
// low load attracts requests, while one of high load merely keeps requests away.
func (p *Prober) Next(now time.Duration) (*routing.Server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	servers := p.routingSet.Servers()
	if len(servers) == 0 {
		return nil, false
	}
	var s *routing.Server
	if probesPerRequest := p.routingSet.ProbesPerRequest(); probesPerRequest > 0 {
		s = p.nextOwed(servers, probesPerRequest)
	} else {
		s = p.nextStale(now, servers)
	}
	if s == nil || !p.budget.Take(now, s, ProbeBytes) {
		return nil, false
	}
	s.RecordProbe(now)
	return s, true
}

// nextOwed returns a random backend server if a probe is pending for the
// requests so far, nil otherwise.
func (p *Prober) nextOwed(servers []*routing.Server, probesPerRequest float64) *routing.Server {
	n := p.routingSet.PickCount()
	p.owedProbes = min(maxOwedProbes, p.owedProbes+probesPerRequest*float64(n-p.countedRequests))
	p.countedRequests = n
	if p.owedProbes < 1 {
		return nil
	}
	p.owedProbes--
	return servers[p.rand.IntN(len(servers))]
}

func (p *Prober) nextStale(now time.Duration, servers []*routing.Server) *routing.Server {
	maxAge := dynamic.MillisToDuration(p.routingSet.Settings().Routing.ReportMaxAgeMS)
	var best *routing.Server
	var lowestRank float64
	start := p.rand.IntN(len(servers))
	for k := range min(maxCandidates, len(servers)) {
		s := servers[(start+k)%len(servers)]
		r, age, ok := s.Reported(now)
		if s.Weight() == 0 || (ok && age <= maxAge) {
			continue
		}
		if probeAge, probed := s.ProbeAge(now); probed && probeAge <= maxAge {
			continue
		}
		rank := float64(r.Load())
		if !s.Local() {
			rank += 1e6
		}
		if best == nil || rank < lowestRank {
			best, lowestRank = s, rank
		}
	}
	return best
}
