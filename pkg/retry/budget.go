package retry

import (
	"sync"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

// tokenTolerance compensates for floating-point rounding: ten additions of 0.1 must
// yield one token.
const tokenTolerance = 1e-9

// fleetBurstShare is the share of the limit over all instances that is divided among
// the instances. The rest is a margin, because an instance that has just started
// knows few other instances.
const fleetBurstShare = 0.8

// Budget limits the extra attempts of one service at this instance. It is safe for
// concurrent use. Times are durations on the clock of the calling code.
type Budget struct {
	mu           sync.Mutex
	ratio        float64
	constantRate float64
	burst        float64
	fleetBurst   float64 // limit on simultaneous extra attempts of all instances; 0: no limit
	maxInstances int     // highest number reported
	tokens       float64
	lastRefill   time.Duration
	refused      uint64
	exhaustion   events.ExhaustionDetector
}

// NewBudget returns a budget of BudgetRatio extra attempts per first attempt plus
// MinPerSecond extra attempts per second (the constant rate). The capacity is Burst,
// lowered to this instance's share of FleetBurst (at least 1), but never less than
// one second of the constant rate. The budget initially holds one second of the
// constant rate.
func NewBudget(settings dynamic.Retry) *Budget {
	b := &Budget{}
	b.Configure(settings)
	b.tokens = settings.MinPerSecond
	return b
}

// Configure applies new settings. Tokens in the bucket are kept up to the new
// capacity.
func (b *Budget) Configure(settings dynamic.Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.constantRate, b.burst, b.fleetBurst = settings.BudgetRatio, settings.MinPerSecond, float64(settings.Burst), settings.FleetBurst
	b.addTokens(0)
}

// Capacity returns the maximum number of extra attempts that can be taken at once.
func (b *Budget) Capacity() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.capacity()
}

// Tokens returns the number of extra attempts that were available when the budget
// was last used.
func (b *Budget) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

func (b *Budget) capacity() float64 {
	burst := b.burst
	if b.fleetBurst > 0 {
		burst = min(burst, max(1, fleetBurstShare*b.fleetBurst/float64(max(1, b.maxInstances))))
	}
	return max(burst, b.constantRate)
}

// Instances sets the number of instances, including this one. The highest number
// reported so far applies, because an instance that is partitioned from the others
// knows few of them.
func (b *Budget) Instances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxInstances = max(b.maxInstances, n)
	b.addTokens(0)
}

// RecordFirstAttempt counts one first attempt.
func (b *Budget) RecordFirstAttempt(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.addTokens(b.ratio)
}

// TakeRetry removes one token for a retry and reports whether one was available.
func (b *Budget) TakeRetry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1-tokenTolerance {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Refused returns how many retries TakeRetry has refused since the start.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Report records an event if the budget has started or stopped refusing extra
// attempts since the last call. The gateway calls it about once a second.
func (b *Budget) Report(recorder events.Recorder, service string) {
	b.mu.Lock()
	count, changed := b.exhaustion.Update(b.refused)
	b.mu.Unlock()
	if changed {
		events.RecordExhaustion(recorder, eventExhausted, eventRecovered, service, count)
	}
}

// refill adds the tokens of the constant rate since the last refill. It adds nothing
// if now is before the last refill.
func (b *Budget) refill(now time.Duration) {
	if elapsed := now - b.lastRefill; elapsed > 0 {
		b.lastRefill = now
		b.addTokens(elapsed.Seconds() * b.constantRate)
	}
}

func (b *Budget) addTokens(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.capacity())
}
