package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rate and delays of the calls of one kind.
const (
	callsPerSecond  = 1
	callBurst       = 2
	maxChangeJitter = 2 * time.Second // the delay before the first call and after a change is drawn from 0 to maxChangeJitter
	initialBackoff  = 2 * time.Second // the delay after n consecutive errors is drawn from 0 to initialBackoff * 2^(n-1)
	maxBackoff      = 30 * time.Second
)

// pacer delays the calls of one kind: it combines a rate limiter with jitter
// after changes and exponential backoff after errors.
type pacer struct {
	limiter *rate.Limiter
	random  func(n time.Duration) time.Duration // returns a duration below n; tests set a seeded source

	mu       sync.Mutex
	failures int
	delay    time.Duration
}

// newPacer returns a pacer whose first call is delayed as after a change,
// because a whole fleet may start at the same moment.
func newPacer() *pacer {
	return newPacerWithRandom(rand.N[time.Duration])
}

func newPacerWithRandom(random func(n time.Duration) time.Duration) *pacer {
	p := &pacer{limiter: rate.NewLimiter(callsPerSecond, callBurst), random: random}
	p.onChange()
	return p
}

// wait blocks until the next call may start or ctx ends.
func (p *pacer) wait(ctx context.Context) error {
	p.mu.Lock()
	delay := p.delay
	p.delay = 0
	p.mu.Unlock()
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	return p.limiter.Wait(ctx)
}

// onChange sets the delay after a call that returned a newer value.
func (p *pacer) onChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = p.random(maxChangeJitter)
}

// onUnchanged adds no delay: the rate limiter alone bounds the next call.
func (p *pacer) onUnchanged() {}

// onFailure sets the delay after a failed call and reports whether it is the
// first of consecutive failures.
func (p *pacer) onFailure() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxDelay := min(maxBackoff, initialBackoff<<min(p.failures, 10))
	p.failures++
	p.delay = p.random(maxDelay)
	return p.failures == 1
}

// clearFailures resets the count of consecutive failures and reports whether
// there were any.
func (p *pacer) clearFailures() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := p.failures > 0
	p.failures = 0
	return failed
}
