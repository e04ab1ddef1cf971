package server

import (
	"sync/atomic"
	"time"

	"lentilpin/pkg/mean"
)

// ServiceStats holds estimates over all backend servers of a service.
type ServiceStats struct {
	load                        mean.Mean // requests at a backend server
	latency                     mean.Mean // nanoseconds
	slowdown                    mean.Mean
	localLatency, remoteLatency mean.Mean    // nanoseconds, for the own and for other failure domains
	errorLatency                atomic.Int64 // nanoseconds
	reportConfidence            reportConfidence
	inflight                    atomic.Int64
}

// Inflight returns the number of attempts of this instance in flight at all backend
// servers of the service.
func (s *ServiceStats) Inflight() int64 { return s.inflight.Load() }

// minLatencySamples is the number of responses below which their mean latency is
// not reliable: a few short ones would make every backend server look busy.
const minLatencySamples = 10

// NewServiceStats returns estimates without samples. errorLatency is the minimum
// latency that a failed attempt contributes to a latency estimate.
func NewServiceStats(errorLatency time.Duration) *ServiceStats {
	s := &ServiceStats{}
	s.SetErrorLatency(errorLatency)
	return s
}

// SetErrorLatency sets the minimum latency that a failed attempt contributes to a
// latency estimate.
func (s *ServiceStats) SetErrorLatency(d time.Duration) { s.errorLatency.Store(int64(d)) }

// ErrorLatency returns the minimum latency that a failed attempt contributes to a
// latency estimate.
func (s *ServiceStats) ErrorLatency() time.Duration { return time.Duration(s.errorLatency.Load()) }

// MeanLoad returns the mean reported number of requests at a backend server.
func (s *ServiceStats) MeanLoad() float64 { return s.load.Value() }

// MeanLatency returns the mean latency of successful attempts; 0 while there are
// fewer than 10 samples.
func (s *ServiceStats) MeanLatency() time.Duration {
	if s.latency.Count() < minLatencySamples {
		return 0
	}
	return time.Duration(s.latency.Value())
}

// MeanSlowdown returns the mean of the reported slowdowns; 0 if none was reported.
func (s *ServiceStats) MeanSlowdown() float64 { return s.slowdown.Value() }

func (s *ServiceStats) observeReport(r Report) {
	s.load.Add(float64(r.Load()))
	if r.Slowdown > 0 {
		s.slowdown.Add(r.Slowdown)
	}
}

func (s *ServiceStats) observeLatency(latency float64, local bool) {
	s.latency.Add(latency)
	s.domainLatency(local).Add(latency)
}

// domainLatency returns the mean latency in nanoseconds of the local or of the
// remote backend servers.
func (s *ServiceStats) domainLatency(local bool) *mean.Mean {
	if local {
		return &s.localLatency
	}
	return &s.remoteLatency
}

// ReportConfidence returns how well the deviations of load reports from their mean
// predict latency, 0 to 1.
func (s *ServiceStats) ReportConfidence() float64 { return s.reportConfidence.value() }
