package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Reading holds the values of all clocks at one moment.
type Reading struct {
	Wall time.Time     // wall clock, without a monotonic reading
	Mono time.Duration // monotonic time since the Clock was created; stops while the machine is suspended
	Boot time.Duration // time since boot, including suspension
}

// Clock reads all clocks of the machine together.
type Clock interface {
	Read() Reading
}

// Elapsed returns the largest time that any clock advanced between two readings.
// It is never negative.
func Elapsed(from, to Reading) time.Duration {
	return max(0, to.Mono-from.Mono, to.Boot-from.Boot, to.Wall.Sub(from.Wall))
}

// System is the Clock of the machine.
type System struct {
	start time.Time
}

// NewSystem returns a System whose monotonic time starts at zero.
func NewSystem() *System {
	return &System{start: time.Now()}
}

// Read implements Clock. Boot is zero if the machine has no CLOCK_BOOTTIME; Elapsed
// then depends on the other two clocks.
func (s *System) Read() Reading {
	now := time.Now()
	var ts unix.Timespec
	var boot time.Duration
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err == nil {
		boot = time.Duration(ts.Nano())
	}
	return Reading{Wall: now.Round(0), Mono: now.Sub(s.start), Boot: boot}
}
