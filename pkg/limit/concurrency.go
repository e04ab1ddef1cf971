package limit

import (
	"sync"
	"time"

	"lentilpin/pkg/routing"
)

const (
	// latencySmoothing is the weight of one sample in the smoothed latency.
	latencySmoothing = 0.1
	// minLatencyDrift is the fraction of the difference to the smoothed latency by
	// which the minimum rises per sample. Without it, a backend server that becomes
	// permanently slower would remain at a limit of 1.
	minLatencyDrift = 0.002
	// A smoothed latency above growthFactor times the minimum plus growthSlack
	// indicates queueing at the backend server. The slack prevents jitter of very
	// short requests from counting as growth.
	growthFactor = 2.0
	growthSlack  = time.Millisecond

	growthDecrease  = 0.9
	shedDecrease    = 0.75
	timeoutDecrease = 0.5
)

// Concurrency is the adaptive limit on concurrent attempts of this instance at one
// backend server. It is safe for concurrent use.
type Concurrency struct {
	mu               sync.Mutex
	max              float64
	limit            float64
	smoothedLatency  float64 // seconds; 0: no sample yet
	minLatency       float64 // seconds
	decreaseCooldown int     // number of further results that cannot decrease the limit
}

// NewConcurrency returns a limit that starts at its upper bound max (at least 1).
func NewConcurrency(max int32) *Concurrency {
	c := &Concurrency{}
	c.SetMax(max)
	c.limit = c.max
	return c
}

// SetMax changes the upper bound (at least 1). A higher limit is lowered at once.
func (c *Concurrency) SetMax(n int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max = float64(max(1, n))
	c.limit = min(c.limit, c.max)
}

// Limit returns the limit in force.
func (c *Concurrency) Limit() int32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int32(c.limit)
}

// Record adjusts the limit to the result of one completed attempt and returns the
// limit in force. A canceled attempt counts only if it took longer than the smoothed
// latency, because its latency is a lower bound. The latency of an error response is
// ignored: a backend server that fails fast must not lower the minimum.
func (c *Concurrency) Record(latency time.Duration, o routing.Outcome) int32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.decreaseCooldown > 0 {
		c.decreaseCooldown--
	}
	switch o {
	case routing.Success:
		c.addSample(latency.Seconds())
		if c.smoothedLatency > c.minLatency*growthFactor+growthSlack.Seconds() {
			c.decrease(growthDecrease)
		} else {
			c.limit = min(c.max, c.limit+1/c.limit)
		}
	case routing.Canceled:
		if s := latency.Seconds(); c.smoothedLatency > 0 && s > c.smoothedLatency {
			c.addSample(s)
			if c.smoothedLatency > c.minLatency*growthFactor+growthSlack.Seconds() {
				c.decrease(growthDecrease)
			}
		}
	case routing.Shed:
		c.decrease(shedDecrease)
	case routing.Timeout, routing.Broken:
		c.decrease(timeoutDecrease)
	case routing.ErrorResponse:
	}
	return int32(c.limit)
}

func (c *Concurrency) addSample(s float64) {
	s = max(s, 0)
	if c.smoothedLatency == 0 {
		c.smoothedLatency, c.minLatency = s, s
		return
	}
	c.smoothedLatency += (s - c.smoothedLatency) * latencySmoothing
	if c.smoothedLatency < c.minLatency {
		c.minLatency = c.smoothedLatency
	} else {
		c.minLatency += (c.smoothedLatency - c.minLatency) * minLatencyDrift
	}
}

func (c *Concurrency) decrease(factor float64) {
	if c.decreaseCooldown > 0 {
		return
	}
	c.decreaseCooldown = int(c.limit)
	c.limit = max(1, c.limit*factor)
}
