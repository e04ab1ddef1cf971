// Package clocktest provides a clock that tests move by hand.
package clocktest

import (
	"sync"
	"time"

	"lentilpin/pkg/clock"
)

// Manual is a clock that moves only when told to.
type Manual struct {
	mu  sync.Mutex
	now clock.Reading
}

// NewManual returns a clock that stands at a fixed wall time.
func NewManual() *Manual {
	return &Manual{now: clock.Reading{Wall: time.Unix(1_700_000_000, 0), Boot: time.Hour}}
}

// Read implements clock.Clock.
func (m *Manual) Read() clock.Reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves all clocks forward.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = clock.Reading{Wall: m.now.Wall.Add(d), Mono: m.now.Mono + d, Boot: m.now.Boot + d}
}

// Suspend moves the wall and boot time clocks but not the monotonic clock, as
// a suspended machine does.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall = m.now.Wall.Add(d)
	m.now.Boot += d
}

// SetWall sets the wall clock alone, forward or back.
func (m *Manual) SetWall(t time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall = t
}
