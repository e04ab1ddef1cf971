// Package lentilpin is the default policy, designed for decisions under stale
// load information.
//
// A decision draws a few random candidates in the own failure domain and in the
// other failure domains, and selects the one with the lowest expected latency:
// the latency that this instance has measured, plus the wait that the load
// causes, plus a penalty for leaving the failure domain.
//
// The load of a candidate is the mean over all backend servers, plus the
// deviation of its last report from that mean, scaled by the report confidence and
// decayed by the age of the report, plus three times the attempts of this instance
// in flight. The report confidence is learned: it is the slope of the latency of
// attempts on the wait that reports predicted for them (type reportConfidence in
// package server). No report states its delay, but delayed reports predict
// nothing, so the confidence falls and the instance's own count decides.
package lentilpin

import (
	"math"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/routing/server"
)

// defaultSlots is the number of slots assumed if the report does not state it.
const defaultSlots = 6

// reportTimeConstant is the time constant with which the weight of a report decays.
const reportTimeConstant = 100 * time.Millisecond

// Options are the settings of the policy.
type Options struct {
	// Choices is the number of candidates in the own failure domain, default 3.
	// With candidates from other failure domains there are 2*Choices-1 in total.
	Choices int
	// CrossDomainPenalty is the latency added to the cost of a backend server in
	// another failure domain, default 3 ms. It need not include the network
	// delay, which is part of the measured latency.
	CrossDomainPenalty time.Duration
}

// Policy selects the candidate of lowest expected latency. It implements
// server.Policy.
type Policy struct {
	options Options
	stats   *server.ServiceStats
}

// New returns a policy that reads the means over all backend servers and the
// report confidence from stats.
func New(o Options, stats *server.ServiceStats) *Policy { return &Policy{options: o, stats: stats} }

// Choose implements server.Policy.
func (p *Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	var best *server.Server
	lowest := math.Inf(1)
	confidence := p.stats.ReportConfidence()
	consider := func(s *server.Server) {
		if s == nil || s == best {
			return
		}
		if cost := p.cost(now, s, confidence); cost < lowest {
			best, lowest = s, cost
		}
	}
	// Draws that a small own failure domain cannot use go to the other ones.
	localDraws := min(p.options.Choices, l.Local())
	remoteDraws := min(2*p.options.Choices-1-localDraws, l.Len()-l.Local())
	for i := range localDraws {
		consider(drawCandidate(l, r, 0, l.Local(), i, localDraws, exclude))
	}
	for i := range remoteDraws {
		consider(drawCandidate(l, r, l.Local(), l.Len(), i, remoteDraws, exclude))
	}
	if best != nil && (best.Local() || l.Local() == 0) {
		best.RecordPredictedWait(now, p.expectedWait(now, best, 1, p.slots(now, best)))
	}
	return best
}

// drawCandidate returns candidate i of n from the indexes [from, to): the one at
// from+i if there are no more than n, else a random one. It returns nil if there
// is no usable one.
func drawCandidate(l *server.List, r *rand.Rand, from, to, i, n int, exclude []*server.Server) *server.Server {
	if n < to-from {
		return l.Draw(r, from, to, exclude)
	}
	return l.Draw(r, from+i, from+i+1, exclude)
}

// cost returns the expected latency of an attempt in nanoseconds, including the
// penalty for leaving the failure domain.
func (p *Policy) cost(now time.Duration, s *server.Server, confidence float64) float64 {
	slots := p.slots(now, s)
	cost := p.serviceTime(now, s, slots) + p.expectedWait(now, s, confidence, slots)
	if !s.Local() {
		cost += float64(p.options.CrossDomainPenalty)
	}
	return cost
}

// serviceTime returns the time in nanoseconds that an attempt takes at the backend
// server without waiting. The measured latency includes the mean wait, which is
// divided out because it would otherwise count twice.
func (p *Policy) serviceTime(now time.Duration, s *server.Server, slots float64) float64 {
	return s.ExpectedLatency(now) / (1 + max(0, p.stats.MeanLoad()+1-slots)/slots)
}

// occupancyCost is the share of the service time that one more request per slot
// adds to the cost below full load. It spreads work before queues form.
const occupancyCost = 0.125

// expectedWait returns the expected wait in nanoseconds, including the occupancy
// cost.
func (p *Policy) expectedWait(now time.Duration, s *server.Server, confidence, slots float64) float64 {
	load := Load(now, s, p.stats, confidence)
	return p.serviceTime(now, s, slots) * (max(0, load+1-slots) + occupancyCost*load) / slots
}

// slots returns the number of requests that the backend server can run at once.
func (p *Policy) slots(now time.Duration, s *server.Server) float64 {
	if r, _, ok := s.Reported(now); ok && r.Slots > 0 {
		return float64(r.Slots)
	}
	return defaultSlots
}

// ownInflightWeight is the load that one attempt of this instance in flight
// represents. It is above 1 because the own count is a sample of the counts of all
// instances, and the only indication of a change that is never delayed: when a
// backend server slows down, attempts of every instance stay there longer. With
// a weight of 1, latency is higher with noisy neighbors and delayed reports; see
// docs/decisions/routing.md.
const ownInflightWeight = 3

// Load returns the estimated number of requests at a backend server now: the mean,
// plus the deviation of the last report scaled by confidence (0 to 1) and decayed
// by its age, plus the weighted attempts of this instance in flight.
func Load(now time.Duration, s *server.Server, stats *server.ServiceStats, confidence float64) float64 {
	load := stats.MeanLoad() + ownInflightWeight*float64(s.Inflight())
	if r, age, ok := s.Reported(now); ok {
		load += confidence * (float64(r.Load()) - stats.MeanLoad()) * math.Exp(-float64(age)/float64(reportTimeConstant))
	}
	return load
}
