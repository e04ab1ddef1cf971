package server

import (
	"math"
	"sync/atomic"
	"time"
)

// Shared holds estimates over all backend servers of a service.
type Shared struct {
	load         atomic.Uint64 // float64 bits
	latency      atomic.Uint64 // float64 bits, nanoseconds
	slowdown     atomic.Uint64 // float64 bits
	near, far    atomic.Uint64 // the latency for the own and for other failure domains
	errorLatency atomic.Int64
	trust        trust
}

// sharedGain is the weight of one report or response in the mean over all
// backend servers: about the last 50 samples count.
const sharedGain = 0.02

// NewShared returns empty estimates.
func NewShared(errorLatency time.Duration) *Shared {
	s := &Shared{}
	s.SetErrorLatency(errorLatency)
	return s
}

// SetErrorLatency sets the least latency with which a failed attempt counts.
func (s *Shared) SetErrorLatency(d time.Duration) { s.errorLatency.Store(int64(d)) }

// ErrorLatency returns the least latency with which a failed attempt counts.
func (s *Shared) ErrorLatency() time.Duration { return time.Duration(s.errorLatency.Load()) }

// MeanLoad returns the mean of the requests at a backend server as reported.
func (s *Shared) MeanLoad() float64 { return math.Float64frombits(s.load.Load()) }

// MeanLatency returns the mean latency of successful attempts.
func (s *Shared) MeanLatency() time.Duration {
	return time.Duration(math.Float64frombits(s.latency.Load()))
}

// MeanSlowdown returns the mean of the reported slowdowns; 0: none was stated.
func (s *Shared) MeanSlowdown() float64 { return math.Float64frombits(s.slowdown.Load()) }

func (s *Shared) observeReport(r Report) {
	average(&s.load, float64(r.Load()))
	if r.Slowdown > 0 {
		average(&s.slowdown, r.Slowdown)
	}
}

func (s *Shared) observeLatency(latency float64, local bool) {
	average(&s.latency, latency)
	average(s.side(local), latency)
}

func (s *Shared) side(local bool) *atomic.Uint64 {
	if local {
		return &s.near
	}
	return &s.far
}

// Trust returns how far the deviations of load reports from their mean predict
// latency, 0 to 1.
func (s *Shared) Trust() float64 { return s.trust.value() }

// average may lose one of two concurrent samples, which a mean tolerates.
func average(v *atomic.Uint64, sample float64) {
	old := math.Float64frombits(v.Load())
	if old == 0 {
		v.Store(math.Float64bits(sample))
		return
	}
	v.Store(math.Float64bits(old + (sample-old)*sharedGain))
}
