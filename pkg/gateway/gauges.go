package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the upper bounds of the latency histogram, doubling from
// 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// gauges are the state metrics of a service, updated once a second.
type gauges struct {
	backends    tally.Gauge // that this instance uses, including ejected and draining ones
	ejected     tally.Gauge
	draining    tally.Gauge
	evacuated   tally.Gauge // not in backends
	rateLimited tally.Gauge // that state a rate limit
	cold        tally.Gauge // that get requests only by permits because they are cold
	connections tally.Gauge // to backend servers, idle and in use
	retryTokens tally.Gauge // extra attempts that may be sent now
}

func newGauges(scope tally.Scope) gauges {
	return gauges{
		backends: scope.Gauge("backends"), ejected: scope.Gauge("backends_ejected"), draining: scope.Gauge("backends_draining"),
		evacuated:   scope.Gauge("backends_evacuated"),
		rateLimited: scope.Gauge("backends_rate_limited"), cold: scope.Gauge("backends_cold"),
		connections: scope.Gauge("backend_connections"), retryTokens: scope.Gauge("retry_tokens"),
	}
}

// attemptCounters count the attempts at backend servers of the own failure domain and of
// others, and so the work that spills over.
type attemptCounters struct {
	own, others tally.Counter
}

func (c attemptCounters) add(isLocal bool) {
	if isLocal {
		c.own.Inc(1)
		return
	}
	c.others.Inc(1)
}

// updateGauges sets the gauges to the current state of the service.
func (s *service) updateGauges() {
	ejected, draining := s.outliers.StateCounts()
	s.gauges.backends.Update(float64(len(s.routingSet.Servers())))
	s.gauges.ejected.Update(float64(ejected))
	s.gauges.draining.Update(float64(draining))
	s.gauges.evacuated.Update(float64(len(s.routingSet.Evacuated())))
	s.gauges.rateLimited.Update(float64(len(s.routingSet.RateLimited())))
	s.gauges.cold.Update(float64(s.routingSet.ColdCount()))
	s.gauges.connections.Update(float64(s.pool.OpenConnections()))
	s.gauges.retryTokens.Update(s.retryBudget.Tokens())
}
