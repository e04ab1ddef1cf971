package fresh

import (
	"time"

	"lentilpin/pkg/routing/server"
)

// defaultMaxCost is the highest cost that headroom refers to if the options set none.
const defaultMaxCost = 4

// LeavesHeadroom implements server.HeadroomChecker: the cost of s is at most the highest
// cost less the headroom, a share of the range from the cost of an idle backend server.
// The penalty for leaving the failure domain does not count: it says nothing about the
// load of s, and less urgent work of a failure domain with few backend servers would not
// be served anywhere. The cost of a backend server that does not answer load queries says
// nothing about its load either.
func (p *Policy) LeavesHeadroom(now time.Duration, s *server.Server, headroom float64) bool {
	_, age, known := s.Reported(now)
	if !known || age > maxSilence || s.IsUnresponsive(now) {
		return true
	}
	highest := p.options.MaxCost
	if highest <= idleCost {
		highest = defaultMaxCost
	}
	cost := p.cost(now, s)
	if !s.Local() {
		cost -= p.options.CrossDomainPenalty
	}
	return cost <= highest-headroom*(highest-idleCost)
}
