// Package random selects any usable backend server with equal probability, reduced by
// the weight (server.List.Draw). It is a baseline that ignores load.
package random

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// Policy selects a random backend server.
type Policy struct{}

// Choose implements server.Policy.
func (Policy) Choose(_ time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	return l.Draw(r, 0, l.Len(), exclude)
}
