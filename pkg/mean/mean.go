// Package mean keeps running means of measurements that arrive one by one.
//
// A Mean begins as the arithmetic mean of its samples and turns into an
// exponentially weighted one after the first of them, so that the first sample
// has no more weight than the others. Means are local to an instance and start
// anew with it. They take no lock: of two concurrent samples one may be lost.
package mean

import (
	"math"
	"sync/atomic"
)

// span is the number of samples after which the weight of a new sample no longer
// falls: about the last 50 count.
const span = 50

// Mean is a running mean. Its zero value has no samples.
type Mean struct {
	value atomic.Uint64 // float64 bits
	count atomic.Uint64 // samples, up to span
}

// Add takes a sample.
func (m *Mean) Add(sample float64) {
	n := m.count.Load()
	if n < span {
		n++
		m.count.Store(n)
	}
	old := m.Value()
	m.value.Store(math.Float64bits(old + (sample-old)/float64(n)))
}

// Value returns the mean; 0 without samples.
func (m *Mean) Value() float64 { return math.Float64frombits(m.value.Load()) }

// Count returns the number of samples, at most that after which their weight no
// longer falls.
func (m *Mean) Count() int { return int(m.count.Load()) }
