// Package buildinfo defines the version and the exit codes of all programs.
package buildinfo

// Version is the version of all programs of this source tree.
const Version = "0.1.0"

// Exit codes of all programs.
const (
	ExitOK       = 0 // success
	ExitFailure  = 1 // the operation failed
	ExitUsage    = 2 // invalid flags or settings
	ExitAborted  = 3 // terminated at once by an interrupt during the shutdown
	ExitPartial  = 4 // some instances did not answer in time
	ExitNotFound = 5 // the requested item was not found
)
