package server

import (
	"sync/atomic"
	"time"

	"lentilpin/pkg/mean"
)

// Shared holds estimates over all backend servers of a service.
type Shared struct {
	load         mean.Mean
	latency      mean.Mean // nanoseconds
	slowdown     mean.Mean
	near, far    mean.Mean // the latency for the own and for other failure domains
	errorLatency atomic.Int64
	trust        trust
}

// minLatencies is the number of responses below which their mean latency says
// little: a few short ones would make every backend server look busy.
const minLatencies = 10

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
func (s *Shared) MeanLoad() float64 { return s.load.Value() }

// MeanLatency returns the mean latency of successful attempts; 0 while there are
// too few.
func (s *Shared) MeanLatency() time.Duration {
	if s.latency.Count() < minLatencies {
		return 0
	}
	return time.Duration(s.latency.Value())
}

// MeanSlowdown returns the mean of the reported slowdowns; 0: none was stated.
func (s *Shared) MeanSlowdown() float64 { return s.slowdown.Value() }

func (s *Shared) observeReport(r Report) {
	s.load.Add(float64(r.Load()))
	if r.Slowdown > 0 {
		s.slowdown.Add(r.Slowdown)
	}
}

func (s *Shared) observeLatency(latency float64, local bool) {
	s.latency.Add(latency)
	s.side(local).Add(latency)
}

func (s *Shared) side(local bool) *mean.Mean {
	if local {
		return &s.near
	}
	return &s.far
}

// Trust returns how far the deviations of load reports from their mean predict
// latency, 0 to 1.
func (s *Shared) Trust() float64 { return s.trust.value() }
