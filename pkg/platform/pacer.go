package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Pace of the calls of one kind.
const (
	callsPerSecond = 1
	callBurst      = 2
	changeJitter   = 2 * time.Second // delay of the first call and after a change is drawn from 0 to this
	backoffBase    = 2 * time.Second // delay after n errors in a row is drawn from 0 to base * 2^(n-1)
	backoffMax     = 30 * time.Second
)

// pacer decides when the next call of one kind may start.
type pacer struct {
	limiter *rate.Limiter
	random  func(n time.Duration) time.Duration // below n; tests set a seed

	mu       sync.Mutex
	failures int
	pause    time.Duration
}

// newPacer returns a pacer whose first call is delayed as after a change,
// because a whole fleet may start at the same moment.
func newPacer() *pacer {
	return newSeededPacer(rand.N[time.Duration])
}

func newSeededPacer(random func(n time.Duration) time.Duration) *pacer {
	p := &pacer{limiter: rate.NewLimiter(callsPerSecond, callBurst), random: random}
	p.changed()
	return p
}

func (p *pacer) wait(ctx context.Context) error {
	p.mu.Lock()
	pause := p.pause
	p.pause = 0
	p.mu.Unlock()
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	}
	return p.limiter.Wait(ctx)
}

func (p *pacer) changed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = p.random(changeJitter)
}

func (p *pacer) unchanged() {}

// fail sets the next delay and reports whether this was the first failure.
func (p *pacer) fail() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := min(backoffMax, backoffBase<<min(p.failures, 10))
	p.failures++
	p.pause = p.random(limit)
	return p.failures == 1
}

// recover reports whether failures preceded this success.
func (p *pacer) recover() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := p.failures > 0
	p.failures = 0
	return failed
}
