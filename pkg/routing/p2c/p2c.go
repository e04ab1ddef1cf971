// Package p2c selects, of two random backend servers, the one with fewer attempts of
// this instance in flight (Mitzenmacher: "The power of two choices in randomized
// load balancing", IEEE TPDS 2001).
package p2c

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// Policy applies the power of two choices to the instance's own attempts in flight.
type Policy struct{}

// Choose implements server.Policy.
func (Policy) Choose(_ time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	a, b := l.Draw(r, 0, l.Len(), exclude), l.Draw(r, 0, l.Len(), exclude)
	if a == nil || b == nil || a.Inflight() <= b.Inflight() {
		return a
	}
	return b
}
