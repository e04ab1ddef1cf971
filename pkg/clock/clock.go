package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Reading is one simultaneous reading of all clocks.
type Reading struct {
	Wall time.Time     // wall clock without its monotonic part
	Mono time.Duration // monotonic clock, stops while the machine is suspended
	Boot time.Duration // boot time clock, counts suspension
}

// Clock reads all clocks of the machine at once.
type Clock interface {
	Read() Reading
}

// Elapsed returns the largest time that any clock counted between two
// readings. It is never negative.
func Elapsed(from, to Reading) time.Duration {
	return max(0, to.Mono-from.Mono, to.Boot-from.Boot, to.Wall.Sub(from.Wall))
}

// System is the clock of the machine.
type System struct {
	start time.Time
}

// NewSystem returns the clock of the machine.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Read implements Clock. The boot time clock reads zero where the machine has
// none; the other two clocks then decide.
func (s *System) Read() Reading {
	now := time.Now()
	var ts unix.Timespec
	var boot time.Duration
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err == nil {
		boot = time.Duration(ts.Nano())
	}
	return Reading{Wall: now.Round(0), Mono: now.Sub(s.start), Boot: boot}
}
