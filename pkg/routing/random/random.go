// Package random selects any usable backend server with equal probability. It
// is a baseline without any knowledge of load.
package random

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// Policy is the random policy.
type Policy struct{}

// Choose implements server.Policy.
func (Policy) Choose(_ time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	return l.Draw(r, 0, l.Len(), exclude)
}
