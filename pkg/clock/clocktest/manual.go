// Package clocktest provides a clock that tests set and advance.
package clocktest

import (
	"sync"
	"time"

	"lentilpin/pkg/clock"
)

// Manual is a clock that changes only through its methods. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now clock.Reading
}

// NewManual returns a clock with a fixed wall time, monotonic time 0 and one hour
// since boot.
func NewManual() *Manual {
	return &Manual{now: clock.Reading{Wall: time.Unix(1_700_000_000, 0), Boot: time.Hour}}
}

// Read implements clock.Clock.
func (m *Manual) Read() clock.Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance advances all clocks by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = clock.Reading{Wall: m.now.Wall.Add(d), Mono: m.now.Mono + d, Boot: m.now.Boot + d}
}

// Suspend advances the wall clock and the boot time by d but not the monotonic
// clock, as on a suspended machine.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall = m.now.Wall.Add(d)
	m.now.Boot += d
}

// SetWall sets only the wall clock, forward or back.
func (m *Manual) SetWall(t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall = t
}
