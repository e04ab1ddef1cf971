// Package mean computes running means of samples that arrive one at a time.
//
// A Mean is the arithmetic mean of its first 50 samples and an exponentially
// weighted moving average from then on, so that the first sample has no more weight
// than the others. Means are local to an instance and start without samples after a
// restart. They use no lock: if two samples are added concurrently, one may be lost.
package mean

import (
	"math"
	"sync/atomic"
)

// maxWeightedSamples is the number of samples after which the weight of a new sample
// stays at 1/maxWeightedSamples, so that about the last 50 samples determine the
// mean.
const maxWeightedSamples = 50

// Mean is a running mean. Its zero value has no samples. It is safe for concurrent
// use.
type Mean struct {
	value atomic.Uint64 // float64 bits
	count atomic.Uint64 // number of samples, up to maxWeightedSamples
}

// Add adds a sample to the mean.
func (m *Mean) Add(sample float64) {
	n := m.count.Load()
	if n < maxWeightedSamples {
		n++
		m.count.Store(n)
	}
	old := m.Value()
	m.value.Store(math.Float64bits(old + (sample-old)/float64(n)))
}

// Value returns the mean; 0 if there are no samples.
func (m *Mean) Value() float64 { return math.Float64frombits(m.value.Load()) }

// Count returns the number of samples, at most 50.
func (m *Mean) Count() int { return int(m.count.Load()) }
