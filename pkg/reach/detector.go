package reach

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minFailedServers is the number of different backend servers that must have
	// failed since the last response, or all if there are fewer.
	minFailedServers = 3
	// minSilence is the time without any response after which the instance counts as
	// cut. It is longer than the usual time between two responses.
	minSilence = 200 * time.Millisecond
	// failureMemory is how long a failure counts.
	failureMemory = 5 * time.Second
)

// Detector detects that no backend server of one service is reached. It is safe for
// concurrent use. Times are durations on the clock of the calling code.
type Detector struct {
	isCut       atomic.Bool
	hasFailures atomic.Bool

	mu           sync.Mutex
	lastResponse time.Duration
	failed       map[string]time.Duration // time of the last failure since lastResponse, by key of the backend server
}

// NewDetector returns a detector that has seen no failure.
func NewDetector() *Detector { return &Detector{failed: map[string]time.Duration{}} }

// RecordResponse records a response of any backend server and reports whether it ends a
// cut.
func (d *Detector) RecordResponse(now time.Duration) (ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastResponse = now
	clear(d.failed)
	d.hasFailures.Store(false)
	return d.isCut.Swap(false)
}

// RecordFailure records that a backend server could not be reached. servers is the
// number of backend servers of the service. It reports whether the service counts as cut
// from now on.
func (d *Detector) RecordFailure(now time.Duration, key string, servers int) (begun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.failed {
		if now-at > failureMemory {
			delete(d.failed, other)
		}
	}
	d.failed[key] = now
	d.hasFailures.Store(true)
	if len(d.failed) < min(minFailedServers, servers) || now-d.lastResponse < minSilence {
		return false
	}
	return !d.isCut.Swap(true)
}

// Forget forgets the failures of the backend servers for which isGone returns true, because
// they get no more requests. servers is the number of those that remain. It reports whether
// this ends a cut: too few of the others have failed.
func (d *Detector) Forget(isGone func(key string) bool, servers int) (ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := len(d.failed)
	maps.DeleteFunc(d.failed, func(key string, _ time.Duration) bool { return isGone(key) })
	if len(d.failed) == before {
		return false
	}
	d.hasFailures.Store(len(d.failed) > 0)
	if len(d.failed) >= max(1, min(minFailedServers, servers)) {
		return false
	}
	return d.isCut.Swap(false)
}

// IsCut reports whether no backend server is reached.
func (d *Detector) IsCut() bool { return d.isCut.Load() }

// HasFailures reports whether a backend server has failed since the last response.
func (d *Detector) HasFailures() bool { return d.hasFailures.Load() }
