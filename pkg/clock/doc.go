// Package clock reads the clocks of the machine and detects that the process
// was paused.
//
// No single clock is reliable across a pause: the monotonic clock of Linux stops
// while a machine is suspended, and the wall clock can be set. Elapsed therefore
// returns the largest elapsed time of three clocks. This is safe for every
// deadline in this system: a deadline may be treated as expired too early, but
// never too late.
package clock
