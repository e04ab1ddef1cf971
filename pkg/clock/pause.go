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

// PauseDetector reports that the process did not run for longer than a
// threshold. Check is called at the start of every unit of work as well as by
// the ticker, because after a pause a request may be scheduled before the
// ticker is.
type PauseDetector struct {
	clock     Clock
	threshold time.Duration
	onPause   func(gap time.Duration)

	mu   sync.Mutex
	last Reading
}

// NewPauseDetector returns a detector that calls onPause with the length of
// each gap above threshold. onPause must not call Check.
func NewPauseDetector(c Clock, threshold time.Duration, onPause func(gap time.Duration)) *PauseDetector {
	return &PauseDetector{clock: c, threshold: threshold, onPause: onPause, last: c.Read()}
}

// Check calls onPause if the last check is longer ago than the threshold.
func (d *PauseDetector) Check() {
	now := d.clock.Read()
	d.mu.Lock()
	gap := Elapsed(d.last, now)
	d.last = now
	d.mu.Unlock()
	if gap > d.threshold {
		d.onPause(gap)
	}
}

// Run calls Check every tick until the context ends.
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
