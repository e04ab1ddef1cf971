package fresh

import (
	"math"
	"time"

	"lentilpin/pkg/routing/server"
)

const (
	// attemptsPerCandidate is the number of own attempts in flight for which an instance
	// has one more candidate. It is below the number of slots, because other instances
	// use the same backend servers, and above one, so that connections stay in use.
	attemptsPerCandidate = 2
	// maxLocalCandidates and maxRemoteCandidates bound the cost of a decision.
	maxLocalCandidates  = 32
	maxRemoteCandidates = 16
	maxCandidates       = maxLocalCandidates + maxRemoteCandidates
)

// widen adds further candidates for an instance with many requests of its own, while
// none of the usual candidates of its own failure domain has room. The load that it
// answers: demand that exceeds what a few backend servers can run, in a failure domain
// with more of them. Without this, such an instance sends requests to other failure
// domains although its own has spare capacity, and finds too few backend servers there
// when it has none.
//
// The number follows the attempts in flight, so that spilled work goes to few backend
// servers, those of lowest affinity, and an instance with few requests has the usual
// candidates.
func (p *Policy) widen(now time.Duration, c *candidateSet, l *server.List, exclude []*server.Server) {
	n := min(maxLocalCandidates, int(math.Ceil(float64(p.stats.Inflight())/attemptsPerCandidate)))
	if n <= localSubsetSize || p.lowestReportedCost(now, c.servers[:c.localCount]) <= idleCost+secondRoundMargin {
		return
	}
	c.n = 0
	c.addUsable(l, 0, l.Local(), n, exclude)
	c.localCount = c.n
	c.addUsable(l, l.Local(), l.Len(), max(remoteSubsetSize, n*maxRemoteCandidates/maxLocalCandidates), exclude)
}
