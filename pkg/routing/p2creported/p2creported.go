// Package p2creported selects, of two random backend servers, the one that last
// reported fewer requests, running and queued, regardless of the age of the report.
// A backend server without a report counts as idle.
package p2creported

import (
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// Policy applies the power of two choices to the reported load.
type Policy struct{}

// Choose implements server.Policy.
func (Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	a, b := l.Draw(r, 0, l.Len(), exclude), l.Draw(r, 0, l.Len(), exclude)
	if a == nil || b == nil {
		return a
	}
	ra, _, _ := a.Reported(now)
	rb, _, _ := b.Reported(now)
	if ra.Load() <= rb.Load() {
		return a
	}
	return b
}
