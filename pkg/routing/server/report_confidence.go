package server

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// minConfidenceGain is the least weight of a new sample. The estimate covers
	// about the last 300 samples, which is about one second of one instance and
	// keeps the standard error of the slope near 0.2 at the latency spread of
	// package bench.
	minConfidenceGain = 1.0 / 300
	// priorSlope is the slope assumed before there are samples.
	// priorWaitSpread is the strength of the prior: it counts like samples whose
	// predicted waits have this standard deviation, as a share of the mean latency.
	priorSlope      = 0.7
	priorWaitSpread = 0.05
)

// reportConfidence estimates how well load reports predict latency. It is the
// slope of an exponentially weighted linear regression of the latency of attempts
// on the wait that load reports predicted for them. Reports that are delayed by as
// long as load takes to change predict nothing, and the slope is then near zero or
// negative. A report does not state its delay, so an instance detects it this way.
type reportConfidence struct {
	mu                       sync.Mutex
	samples                  float64
	meanWait, meanLatency    float64
	waitVariance, covariance float64
	slope                    atomic.Uint64 // float64 bits
	hasSlope                 atomic.Bool
}

// observe adds one attempt with its predicted wait and its latency, both in
// nanoseconds.
func (c *reportConfidence) observe(predictedWait, latency float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples++
	gain := max(minConfidenceGain, 1/c.samples)
	waitDelta, latencyDelta := predictedWait-c.meanWait, latency-c.meanLatency
	c.meanWait += gain * waitDelta
	c.meanLatency += gain * latencyDelta
	c.waitVariance += gain * ((1-gain)*waitDelta*waitDelta - c.waitVariance)
	c.covariance += gain * ((1-gain)*waitDelta*latencyDelta - c.covariance)
	// The weight of the prior decreases with the number of samples.
	prior := math.Pow(priorWaitSpread*c.meanLatency, 2) + c.waitVariance*30/(30+c.samples)
	slope := priorSlope
	// Both are 0 while all attempts have a latency of 0 and the same predicted wait.
	if sum := c.waitVariance + prior; sum > 0 {
		slope = (c.covariance + priorSlope*prior) / sum
	}
	c.slope.Store(math.Float64bits(min(1, max(0, slope))))
	c.hasSlope.Store(true)
}

// value returns the slope, limited to 0 to 1.
func (c *reportConfidence) value() float64 {
	if !c.hasSlope.Load() {
		return priorSlope
	}
	return math.Float64frombits(c.slope.Load())
}
