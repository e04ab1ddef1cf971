package limit

import (
	"sync"
	"time"

	"lentilpin/pkg/routing"
)

const (
	// smoothing is the weight of one sample in the smoothed latency.
	smoothing = 0.1
	// minimumDrift is the share of the distance to the smoothed latency by
	// which the minimum rises per sample, so that a backend server that became
	// slower for good is not held at the limit 1.
	minimumDrift = 0.002
	// growthFactor and growthSlack give the smoothed latency above which the
	// backend server is taken to queue. The slack keeps jitter of very short
	// requests from counting as growth.
	growthFactor = 2.0
	growthSlack  = time.Millisecond

	growthDecrease  = 0.9
	shedDecrease    = 0.75
	timeoutDecrease = 0.5
)

// Concurrency is the adaptive limit of concurrent attempts of this instance at
// one backend server.
type Concurrency struct {
	mu       sync.Mutex
	max      float64
	limit    float64
	smoothed float64 // seconds; 0: no sample yet
	minimum  float64 // seconds
	hold     int     // results left that cannot decrease the limit
}

// NewConcurrency returns a limit that starts at max, at least 1.
func NewConcurrency(max int32) *Concurrency {
	c := &Concurrency{}
	c.SetMax(max)
	c.limit = c.max
	return c
}

// SetMax changes the upper bound. A limit above it is lowered at once.
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

// Record counts one ended attempt and returns the limit in force. A canceled
// attempt counts only if it had already lasted longer than the smoothed latency,
// because its latency is a lower bound. The latency of an error response is
// ignored: a backend server that fails fast must not lower the minimum.
func (c *Concurrency) Record(latency time.Duration, o routing.Outcome) int32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hold > 0 {
		c.hold--
	}
	switch o {
	case routing.Success:
		c.sample(latency.Seconds())
		if c.smoothed > c.minimum*growthFactor+growthSlack.Seconds() {
			c.decrease(growthDecrease)
		} else {
			c.limit = min(c.max, c.limit+1/c.limit)
		}
	case routing.Canceled:
		if s := latency.Seconds(); c.smoothed > 0 && s > c.smoothed {
			c.sample(s)
			if c.smoothed > c.minimum*growthFactor+growthSlack.Seconds() {
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

func (c *Concurrency) sample(s float64) {
	s = max(s, 0)
	if c.smoothed == 0 {
		c.smoothed, c.minimum = s, s
		return
	}
	c.smoothed += (s - c.smoothed) * smoothing
	if c.smoothed < c.minimum {
		c.minimum = c.smoothed
	} else {
		c.minimum += (c.smoothed - c.minimum) * minimumDrift
	}
}

func (c *Concurrency) decrease(factor float64) {
	if c.hold > 0 {
		return
	}
	c.hold = int(c.limit)
	c.limit = max(1, c.limit*factor)
}
