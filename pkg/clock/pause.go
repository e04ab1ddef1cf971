package clock

import (
	"context"
	"sync"
	"time"
)

// Default intervals of PauseDetector.
const (
	DefaultPauseTick      = 100 * time.Millisecond
	DefaultPauseThreshold = time.Second
)

// PauseDetector detects that the process did not run for longer than a threshold.
// Check is called at the start of every unit of work in addition to Run, because
// after a pause a request may be scheduled before the ticker of Run. PauseDetector
// is safe for concurrent use.
type PauseDetector struct {
	clock     Clock
	threshold time.Duration
	onPause   func(gap time.Duration)

	mu        sync.Mutex
	lastCheck Reading
}

// NewPauseDetector returns a detector that calls onPause with the time between two
// checks whenever it exceeds threshold. onPause must not call Check.
func NewPauseDetector(c Clock, threshold time.Duration, onPause func(gap time.Duration)) *PauseDetector {
	return &PauseDetector{clock: c, threshold: threshold, onPause: onPause, lastCheck: c.Read()}
}

// Check calls onPause if the time since the last check exceeds the threshold.
func (d *PauseDetector) Check() {
	now := d.clock.Read()
	d.mu.Lock()
	gap := Elapsed(d.lastCheck, now)
	d.lastCheck = now
	d.mu.Unlock()
	if gap > d.threshold {
		d.onPause(gap)
	}
}

// Run calls Check at intervals of tick until the context is done.
func (d *PauseDetector) Run(ctx context.Context, tick time.Duration) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.Check()
		}
	}
}
