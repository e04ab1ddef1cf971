package route

import (
	"time"

	"lentilpin/pkg/mean"
)

// BaselineLatency estimates the latency of a route's requests at a backend
// server without slowdown.
type BaselineLatency struct {
	seconds mean.Mean
}

// minBaselineSamples is the number of responses after which outliers are
// limited. With fewer responses it is not known which latency is an outlier.
const minBaselineSamples = 10

// Observe records the latency of a successful response. slowdown is the factor
// in the last load report before the backend server was selected; values below
// 1 count as 1.
func (b *BaselineLatency) Observe(latency time.Duration, slowdown float64) {
	sample := latency.Seconds() / max(1, slowdown)
	if b.seconds.Count() >= minBaselineSamples {
		// A single outlier must not dominate the estimate.
		sample = min(sample, 2*b.seconds.Value())
	}
	b.seconds.Add(sample)
}

// Latency returns the estimate, or 0 before the first response.
func (b *BaselineLatency) Latency() time.Duration {
	return time.Duration(b.seconds.Value() * float64(time.Second))
}

// Bounds of the hedge delay as multiples of the baseline latency. Earlier hedges
// would send most requests twice; later hedges gain little.
const (
	minHedgeFactor = 1.2
	maxHedgeFactor = 2
	// hedgeDurationFactor is the time from the start of a hedge to its response
	// as a multiple of the baseline latency. responseTransferTime is the time
	// to transfer that response to the caller.
	hedgeDurationFactor  = 1.15
	responseTransferTime = 20 * time.Millisecond
)

// HedgeDelay returns the time after the start of a request at which a hedge is
// sent to a second backend server so that its response can arrive within the
// target latency. It returns false if the route has no target latency or no
// response was observed yet.
func (r *Route) HedgeDelay() (time.Duration, bool) {
	baseline := r.BaselineLatency.Latency()
	if r.TargetLatencyMS == 0 || baseline == 0 {
		return 0, false
	}
	target := time.Duration(r.TargetLatencyMS) * time.Millisecond
	latest := target - scaleDuration(baseline, hedgeDurationFactor) - responseTransferTime
	return max(scaleDuration(baseline, minHedgeFactor), min(latest, scaleDuration(baseline, maxHedgeFactor))), true
}

func scaleDuration(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }
