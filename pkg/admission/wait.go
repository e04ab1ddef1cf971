package admission

import "time"

const (
	// targetHoldShare is the share of the target latency after which a request is refused
	// unless it is likely to start. A refusal costs the caller more than an immediate one
	// if it arrives after an eighth.
	targetHoldShare = 0.11
	// transferTime is the time to transfer a response to the caller.
	transferTime = 20 * time.Millisecond
	// callerWaitShare is the share of the remaining time that a refusal asks the caller to
	// wait at most. A caller waits for a third of what is left when the refusal arrives; a
	// value just below that leaves room for the way there.
	callerWaitShare = 0.3
	// minRetryAfter is the least time until a refused caller comes back; a slot rarely
	// becomes free sooner.
	minRetryAfter = 50 * time.Millisecond
)

// Wait bounds how long a request waits for a backend server.
type Wait struct {
	Max time.Duration // no start after this is useful
	// Hold is the wait after which the request is refused unless it is likely to start
	// within Max.
	Hold time.Duration
}

// Timing describes what is left of the time of a request.
type Timing struct {
	Target   time.Duration // target latency; 0: none
	Elapsed  time.Duration // since the request arrived
	Left     time.Duration // until the deadline
	Service  time.Duration // usual time from the start of an attempt to its response; 0: not known
	MinWait  time.Duration // setting queue.maxWaitMs
	MaxShare float64       // setting admission.maxWaitRatio, default 0.5: longest wait as a share of Left
}

// NewWait returns how long a request may wait so that its response still arrives within
// its target latency: at least MinWait, at most MaxShare of the time left. Without a
// target latency the wait is MinWait.
func NewWait(t Timing) Wait {
	out := Wait{Max: t.MinWait, Hold: t.MinWait}
	if t.Target <= 0 {
		return out
	}
	useful := t.Target - t.Elapsed - t.Service - transferTime
	useful = min(useful, time.Duration(t.MaxShare*float64(t.Left)))
	out.Max = max(t.MinWait, useful)
	out.Hold = min(out.Max, max(t.MinWait, time.Duration(targetHoldShare*float64(t.Target))-t.Elapsed))
	return out
}

// RetryAfter returns when a refused caller is to come back. expected is the expected time
// until there is room, left the remaining time of the caller, draw a random number from 0
// to 1 that spreads callers. The result leaves the repetition enough of the target
// latency where that is possible, and is less than a third of left, because a
// caller does not wait for longer.
func RetryAfter(t Timing, expected, left time.Duration, draw float64) time.Duration {
	latest := time.Duration(callerWaitShare * float64(left))
	earliest := min(max(expected, minRetryAfter), latest)
	if useful := t.Target - t.Elapsed - t.Service - transferTime; t.Target > 0 && useful > 2*earliest {
		latest = min(latest, useful)
	}
	return earliest + time.Duration(draw*float64(latest-earliest))
}
