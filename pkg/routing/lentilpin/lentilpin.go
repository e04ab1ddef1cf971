// Package lentilpin is the product's own policy for decisions under stale load.
//
// A decision draws a few random candidates of the own failure domain and one
// of another failure domain, and takes the one with the lowest expected
// latency. The load of a candidate is its last report, aged towards the mean
// over all backend servers, plus what this instance has sent since. The
// report's requests in flight contain those of all instances, so attempts that
// started before the report are not added again.
package lentilpin

import (
	"math"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// defaultSlots is assumed where a report does not state the slots.
const defaultSlots = 6

// ageTime is the time constant with which a report loses its weight.
const ageTime = 100 * time.Millisecond

// Options are the settings of the policy.
type Options struct {
	Choices            int           // candidates in the own failure domain, default 3
	CrossDomainPenalty time.Duration // price of leaving the failure domain, default 10 ms
}

// Policy is the product's policy.
type Policy struct {
	options Options
	shared  *server.Shared
}

// New returns the policy.
func New(o Options, shared *server.Shared) *Policy { return &Policy{options: o, shared: shared} }

// Choose implements server.Policy.
func (p *Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	var best *server.Server
	lowest := math.Inf(1)
	consider := func(s *server.Server) {
		if s == nil || s == best {
			return
		}
		if cost := p.Cost(now, s); cost < lowest {
			best, lowest = s, cost
		}
	}
	for range min(p.options.Choices, l.Local()) {
		consider(l.Draw(r, 0, l.Local(), exclude))
	}
	consider(l.Draw(r, l.Local(), l.Len(), exclude))
	return best
}

// Cost is the expected latency of an attempt in nanoseconds.
func (p *Policy) Cost(now time.Duration, s *server.Server) float64 {
	load, slots := Load(now, s, p.shared), float64(defaultSlots)
	if r, _, ok := s.Reported(now); ok && r.Slots > 0 {
		slots = float64(r.Slots)
	}
	service := float64(s.Latency())
	if service == 0 {
		service = float64(p.shared.MeanLatency())
	}
	cost := service * (1 + max(0, load+1-slots)/slots + load/slots/8)
	if !s.Local() {
		cost += float64(p.options.CrossDomainPenalty)
	}
	return cost
}

// Load is the estimate of the requests at a backend server now.
func Load(now time.Duration, s *server.Server, shared *server.Shared) float64 {
	mean := shared.MeanLoad()
	r, age, ok := s.Reported(now)
	if !ok {
		return mean + float64(s.Inflight())
	}
	return mean + (float64(r.Load())-mean)*math.Exp(-float64(age)/float64(ageTime)) + float64(s.SentSince())
}
