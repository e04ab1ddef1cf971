// Package clock reads the clocks of the machine and detects that the process
// was paused.
//
// A paused process cannot trust one clock alone: the monotonic clock of Linux
// stops while a machine is suspended, and the wall clock can be set. Elapsed
// therefore takes the largest elapsed time of three clocks, which is the safe
// direction for every deadline in this system: a deadline may be judged as
// passed too early, never too late.
package clock
