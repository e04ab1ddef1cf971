package retry

import (
	"sync"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

// rounding lets ten times a ratio of 0.1 add up to one token in spite of binary
// fractions.
const rounding = 1e-9

// fleetShare is the part of the bound over all instances that they use: an
// instance that has just started knows of few others.
const fleetShare = 0.8

// Budget bounds the extra attempts of one service at this instance.
type Budget struct {
	mu         sync.Mutex
	ratio      float64
	perSecond  float64
	burst      float64
	fleet      float64 // extra attempts of all instances at one moment; 0: no bound
	instances  int     // the most that were seen
	tokens     float64
	last       time.Duration
	refused    uint64
	exhaustion events.Exhaustion
}

// NewBudget returns a budget of budgetRatio extra attempts per first attempt and
// minPerSecond besides; it holds at most burst of them, or one second of the
// constant rate if that is more. It starts with one second of the constant rate.
func NewBudget(settings dynamic.Retry) *Budget {
	b := &Budget{}
	b.Configure(settings)
	b.tokens = settings.MinPerSecond
	return b
}

// Configure changes the budget. What the bucket holds is kept up to the bound.
func (b *Budget) Configure(settings dynamic.Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.perSecond, b.burst, b.fleet = settings.BudgetRatio, settings.MinPerSecond, float64(settings.Burst), settings.FleetBurst
	b.add(0)
}

// Capacity returns the most extra attempts that can be taken at one moment.
func (b *Budget) Capacity() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.capacity()
}

// Tokens returns the extra attempts that could be taken when the budget was last
// used.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

func (b *Budget) capacity() float64 {
	burst := b.burst
	if b.fleet > 0 {
		burst = min(burst, max(1, fleetShare*b.fleet/float64(max(1, b.instances))))
	}
	return max(burst, b.perSecond)
}

// Instances tells how many instances there are, this one included. The highest
// number counts: one that is cut off from the others knows of few.
func (b *Budget) Instances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(b.instances, n)
	b.add(0)
}

// Request counts one first attempt.
func (b *Budget) Request(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.add(b.ratio)
}

// Take reports whether one retry or hedge may be sent, and counts it.
func (b *Budget) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1-rounding {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Refused returns how many extra attempts were refused since the start.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Report records an event when the budget has begun or ceased to refuse since
// the last call. The gateway calls it about once a second.
func (b *Budget) Report(rec events.Recorder, service string) {
	b.mu.Lock()
	count, changed := b.exhaustion.Update(b.refused)
	b.mu.Unlock()
	if changed {
		events.RecordExhaustion(rec, eventExhausted, eventRecovered, service, count)
	}
}

// refill adds the constant rate. A time before the last one adds nothing.
func (b *Budget) refill(now time.Duration) {
	if elapsed := now - b.last; elapsed > 0 {
		b.last = now
		b.add(elapsed.Seconds() * b.perSecond)
	}
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.capacity())
}
