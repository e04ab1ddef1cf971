package server

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// trustGain is the weight of one sample: about the last 300 count, which
	// is about one second of one instance and keeps the standard error of the
	// slope near 0.2 at the spread of latency in the bench.
	trustGain = 1.0 / 300
	// trustPrior is the slope assumed without evidence, and priorWait the
	// spread of predicted waits, as a share of the mean latency, to which the
	// prior is equivalent.
	trustPrior = 0.7
	priorWait  = 0.05
)

// trust is the slope of a running linear regression of the latency of attempts
// on the wait that load reports predicted for them. Reports that are as late
// as load shifts predict nothing: the slope is then near zero or negative. A
// report does not state its delay, so this is how an instance notices it.
type trust struct {
	mu           sync.Mutex
	samples      float64
	meanX, meanY float64
	varX, covXY  float64
	slope        atomic.Uint64 // float64 bits
	hasSlope     atomic.Bool
}

func (t *trust) observe(x, y float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples++
	gain := max(trustGain, 1/t.samples)
	dx, dy := x-t.meanX, y-t.meanY
	t.meanX += gain * dx
	t.meanY += gain * dy
	t.varX += gain * ((1-gain)*dx*dx - t.varX)
	t.covXY += gain * ((1-gain)*dx*dy - t.covXY)
	// The prior counts less the more samples there are.
	prior := math.Pow(priorWait*t.meanY, 2) + t.varX*30/(30+t.samples)
	slope := (t.covXY + trustPrior*prior) / (t.varX + prior)
	t.slope.Store(math.Float64bits(min(1, max(0, slope))))
	t.hasSlope.Store(true)
}

func (t *trust) value() float64 {
	if !t.hasSlope.Load() {
		return trustPrior
	}
	return math.Float64frombits(t.slope.Load())
}
