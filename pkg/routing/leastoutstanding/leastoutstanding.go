// Package leastoutstanding selects the backend server with the fewest attempts
// of this instance in flight, divided by the weight. It is a baseline that ignores
// the load from other instances.
package leastoutstanding

import (
	"math"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// maxCompared is the maximum number of backend servers that one decision compares.
// It bounds the cost of a decision and covers all backend servers of every service
// in current deployments.
const maxCompared = 64

// Policy selects the backend server with the fewest own attempts in flight.
type Policy struct{}

// Choose implements server.Policy. The comparison starts at a random backend server;
// the first one wins a tie.
func (Policy) Choose(_ time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	n := l.Len()
	if n == 0 {
		return nil
	}
	start := r.IntN(n)
	var best *server.Server
	leastLoad := math.Inf(1)
	for k := range min(n, maxCompared) {
		i := (start + k) % n
		s := l.At(i)
		if !l.Usable(i) || server.Contains(exclude, s) {
			continue
		}
		if load := (float64(s.Inflight()) + 1) / s.Weight(); load < leastLoad {
			best, leastLoad = s, load
		}
	}
	if best == nil {
		return l.Draw(r, 0, n, exclude)
	}
	return best
}
