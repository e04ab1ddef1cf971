// Package roundrobin selects the backend servers in turn. It is a baseline that
// ignores load.
package roundrobin

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lentilpin/pkg/routing/server"
)

// Policy is the round-robin policy of one instance.
type Policy struct{ next atomic.Uint64 }

// New returns a policy that starts after the given list index, modulo the length of
// the list. Instances need different starts, so that they do not select the same
// backend servers at the same time.
func New(start uint64) *Policy {
	p := &Policy{}
	p.next.Store(start)
	return p
}

// Choose implements server.Policy. A backend server of weight w below 1 is selected
// in its turn with probability w, else the next one is.
func (p *Policy) Choose(_ time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	n := l.Len()
	if n == 0 {
		return nil
	}
	var s *server.Server
	for range 2 {
		i := int(p.next.Add(1) % uint64(n))
		s = l.NextUsable(i, 0, n, exclude)
		if s == nil || s.Weight() >= 1 || r.Float64() < s.Weight() {
			return s
		}
	}
	return s
}
