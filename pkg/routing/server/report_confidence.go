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
func (t *reportConfidence) observe(predictedWait, latency float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples++
	gain := max(minConfidenceGain, 1/t.samples)
	waitDelta, latencyDelta := predictedWait-t.meanWait, latency-t.meanLatency
	t.meanWait += gain * waitDelta
	t.meanLatency += gain * latencyDelta
	t.waitVariance += gain * ((1-gain)*waitDelta*waitDelta - t.waitVariance)
	t.covariance += gain * ((1-gain)*waitDelta*latencyDelta - t.covariance)
	// The weight of the prior decreases with the number of samples.
	prior := math.Pow(priorWaitSpread*t.meanLatency, 2) + t.waitVariance*30/(30+t.samples)
	slope := (t.covariance + priorSlope*prior) / (t.waitVariance + prior)
	t.slope.Store(math.Float64bits(min(1, max(0, slope))))
	t.hasSlope.Store(true)
}

// value returns the slope, limited to 0 to 1.
func (t *reportConfidence) value() float64 {
	if !t.hasSlope.Load() {
		return priorSlope
	}
	return math.Float64frombits(t.slope.Load())
}
