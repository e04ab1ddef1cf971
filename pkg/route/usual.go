package route

import (
	"time"

	"lentilpin/pkg/mean"
)

// Usual is the latency that requests of a route usually have at a backend server
// at its usual speed.
type Usual struct {
	seconds mean.Mean
}

// minUsual is the number of responses from which on one that took very long is
// bounded: before, it is not known what is long.
const minUsual = 10

// Observe takes the latency of a good response from a backend server that stated
// a slowdown when it was chosen; a slowdown below 1 counts as 1.
func (u *Usual) Observe(latency time.Duration, slowdown float64) {
	sample := latency.Seconds() / max(1, slowdown)
	if u.seconds.Count() >= minUsual {
		// One response that took very long says little about the usual one.
		sample = min(sample, 2*u.seconds.Value())
	}
	u.seconds.Add(sample)
}

// Latency returns the usual latency; 0: not known yet.
func (u *Usual) Latency() time.Duration {
	return time.Duration(u.seconds.Value() * float64(time.Second))
}

// Bounds of the hedge delay as multiples of the usual latency: earlier, most
// requests would be sent twice; later, little is won.
const (
	earliestHedge = 1.2
	latestHedge   = 2
	// hedgeNeeds is what a hedge needs until its response has arrived, in the
	// same unit, and hedgeWay the way of that response to the caller.
	hedgeNeeds = 1.15
	hedgeWay   = 20 * time.Millisecond
)

// HedgeDelay returns how long after its start a request is sent to a second
// backend server so that the response still arrives within the target latency;
// false where the route states no target or no response was seen yet.
func (r *Route) HedgeDelay() (time.Duration, bool) {
	usual := r.Usual.Latency()
	if r.TargetLatencyMS == 0 || usual == 0 {
		return 0, false
	}
	target := time.Duration(r.TargetLatencyMS) * time.Millisecond
	latest := target - times(usual, hedgeNeeds) - hedgeWay
	return max(times(usual, earliestHedge), min(latest, times(usual, latestHedge))), true
}

func times(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }
