// Package leastoutstanding selects the backend server with the fewest attempts
// of this instance in flight. It is a baseline that knows nothing of the load
// from other instances.
package leastoutstanding

import (
	"math"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// window is the number of backend servers that one decision compares. It
// keeps the cost of a decision constant and covers every service of today's
// users whole.
const window = 64

// Policy is the least-outstanding policy.
type Policy struct{}

// Choose implements server.Policy. Ties go to the first backend server after a
// random start.
func (Policy) Choose(_ time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	n := l.Len()
	if n == 0 {
		return nil
	}
	start := r.IntN(n)
	var best *server.Server
	least := math.Inf(1)
	for k := range min(n, window) {
		i := (start + k) % n
		s := l.At(i)
		if !l.Usable(i) || server.Contains(exclude, s) {
			continue
		}
		if load := (float64(s.Inflight()) + 1) / s.Weight(); load < least {
			best, least = s, load
		}
	}
	if best == nil {
		return l.Draw(r, 0, n, exclude)
	}
	return best
}
