package route

import (
	"math"
	"sync/atomic"
	"time"
)

// usualGain is the weight of one response in the usual latency: about the last 50
// count.
const usualGain = 0.02

// Usual is the latency that requests of a route usually have at a backend server
// at its usual speed. Two responses at one moment may count as one.
type Usual struct {
	seconds atomic.Uint64 // float64 bits; 0: no response yet
}

// Observe takes the latency of a good response from a backend server that stated
// a slowdown when it was chosen; a slowdown below 1 counts as 1.
func (u *Usual) Observe(latency time.Duration, slowdown float64) {
	sample := latency.Seconds() / max(1, slowdown)
	old := math.Float64frombits(u.seconds.Load())
	if old == 0 {
		u.seconds.Store(math.Float64bits(sample))
		return
	}
	// One response that took very long says little about the usual one.
	sample = min(sample, 2*old)
	u.seconds.Store(math.Float64bits(old + usualGain*(sample-old)))
}

// Latency returns the usual latency; 0: not known yet.
func (u *Usual) Latency() time.Duration {
	return time.Duration(math.Float64frombits(u.seconds.Load()) * float64(time.Second))
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
