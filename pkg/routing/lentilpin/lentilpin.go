// Package lentilpin is the product's own policy for decisions under stale load.
//
// A decision draws a few random candidates of the own failure domain and of the
// other failure domains, and takes the one with the lowest expected latency:
// the latency that this instance has seen, plus the wait that the load leads
// to, plus a price for leaving the failure domain.
//
// The load of a candidate is the mean over all backend servers, plus the
// trusted part of the deviation of its last report, aged towards the mean, plus
// three times the attempts of this instance in flight. Trust is learned: it is the slope of
// the latency of attempts on the wait that reports predicted for them (type
// trust in package server). No report states how late it is, but late reports
// predict nothing, so trust falls and the instance's own count decides.
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
	// Choices is the number of candidates in the own failure domain, default 3.
	// Those from the other failure domains make it 2*Choices-1 in all.
	Choices int
	// CrossDomainPenalty is the price of leaving the failure domain. The delay
	// of the network is part of the measured latency and need not be in it.
	CrossDomainPenalty time.Duration
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
	trust := p.shared.Trust()
	consider := func(s *server.Server) {
		if s == nil || s == best {
			return
		}
		if cost := p.cost(now, s, trust); cost < lowest {
			best, lowest = s, cost
		}
	}
	// Draws that a small own failure domain leaves over go to the others.
	near := min(p.options.Choices, l.Local())
	far := min(2*p.options.Choices-1-near, l.Len()-l.Local())
	for i := range near {
		consider(candidate(l, r, 0, l.Local(), i, near, exclude))
	}
	for i := range far {
		consider(candidate(l, r, l.Local(), l.Len(), i, far, exclude))
	}
	if best != nil && (best.Local() || l.Local() == 0) {
		best.Predict(now, p.wait(now, best, 1, p.slots(now, best)))
	}
	return best
}

// candidate returns candidate i of n from the indexes [from, to): each one in
// turn where there are no more than n, else a random one.
func candidate(l *server.List, r *rand.Rand, from, to, i, n int, exclude []*server.Server) *server.Server {
	if n < to-from {
		return l.Draw(r, from, to, exclude)
	}
	return l.Draw(r, from+i, from+i+1, exclude)
}

// cost is the expected latency of an attempt in nanoseconds.
func (p *Policy) cost(now time.Duration, s *server.Server, trust float64) float64 {
	slots := p.slots(now, s)
	cost := p.service(now, s, slots) + p.wait(now, s, trust, slots)
	if !s.Local() {
		cost += float64(p.options.CrossDomainPenalty)
	}
	return cost
}

// service is the time that an attempt takes at the backend server without
// waiting, in nanoseconds. The latency of attempts contains the mean wait, which
// would otherwise count twice.
func (p *Policy) service(now time.Duration, s *server.Server, slots float64) float64 {
	return s.Expected(now) / (1 + max(0, p.shared.MeanLoad()+1-slots)/slots)
}

// preference is the share of the service time that one more request per slot
// costs below full load. It spreads work before queues form.
const preference = 0.125

// wait is the expected wait in nanoseconds.
func (p *Policy) wait(now time.Duration, s *server.Server, trust, slots float64) float64 {
	load := Load(now, s, p.shared, trust)
	return p.service(now, s, slots) * (max(0, load+1-slots) + preference*load) / slots
}

func (p *Policy) slots(now time.Duration, s *server.Server) float64 {
	if r, _, ok := s.Reported(now); ok && r.Slots > 0 {
		return float64(r.Slots)
	}
	return defaultSlots
}

// ownWeight is what one attempt of this instance in flight adds to the load.
// It is above one because the own count is a sample of the counts of all
// instances, and the only sign of a change that is never late: when a backend
// server slows down, attempts of every instance stay there longer. In the bench
// 3 served noisy neighbours and late reports better than 1, and 4 no better.
const ownWeight = 3

// Load is the estimate of the requests at a backend server now: the mean, plus
// the trusted part of the deviation of the last report, plus the attempts of
// this instance in flight.
func Load(now time.Duration, s *server.Server, shared *server.Shared, trust float64) float64 {
	load := shared.MeanLoad() + ownWeight*float64(s.Inflight())
	if r, age, ok := s.Reported(now); ok {
		load += trust * (float64(r.Load()) - shared.MeanLoad()) * math.Exp(-float64(age)/float64(ageTime))
	}
	return load
}
