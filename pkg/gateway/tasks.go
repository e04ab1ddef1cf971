package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// taskPollInterval is how often wait checks whether all tasks have ended.
const taskPollInterval = 5 * time.Millisecond

// taskTracker counts background tasks. Unlike sync.WaitGroup it allows new
// tasks to start during wait, which happens when a shutdown times out.
type taskTracker struct {
	running atomic.Int64
}

// Go runs f in a new goroutine.
func (t *taskTracker) Go(f func()) {
	t.running.Add(1)
	go func() {
		defer t.running.Add(-1)
		f()
	}()
}

// wait returns when no task is running or ctx is done.
func (t *taskTracker) wait(ctx context.Context) {
	ticker := time.NewTicker(taskPollInterval)
	defer ticker.Stop()
	for t.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
