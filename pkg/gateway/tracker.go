package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// trackerPoll is how often wait looks whether the work has ended.
const trackerPoll = 5 * time.Millisecond

// tracker counts work in the background. Unlike sync.WaitGroup it may be waited
// for while new work begins, which happens where a shutdown runs out of time.
type tracker struct {
	running atomic.Int64
}

// Go runs f in a goroutine of its own.
func (t *tracker) Go(f func()) {
	t.running.Add(1)
	go func() {
		defer t.running.Add(-1)
		f()
	}()
}

// wait returns when no work runs, or when the context ends.
func (t *tracker) wait(ctx context.Context) {
	tick := time.NewTicker(trackerPoll)
	defer tick.Stop()
	for t.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
