// Package buildinfo states the version of the programs and the meaning of
// their exit codes.
package buildinfo

// Version is the version of all programs of this source tree.
const Version = "0.1.0"

// Exit codes shared by all programs.
const (
	ExitOK       = 0 // done
	ExitFailure  = 1 // the work failed
	ExitUsage    = 2 // wrong flags or settings
	ExitAborted  = 3 // ended at once by a second signal
	ExitPartial  = 4 // some instances did not answer in time
	ExitNotFound = 5 // nobody knows what was asked for
)
