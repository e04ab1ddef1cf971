package outlier

import (
	"time"
)

// State determines the share of new requests that a backend server may receive.
type State uint8

// States of a backend server.
const (
	StateHealthy   State = iota // weight 1
	StateSlowStart              // weight rises from slowStartWeight to 1
	StateEjected                // weight 0
	StateDraining               // weight 0
)

// String returns the name of the state, for example "slow_start".
func (s State) String() string {
	return [...]string{"healthy", "slow_start", "ejected", "draining"}[s]
}

// Sources of a drain signal.
const (
	SourceResponse = "response"
	SourcePeer     = "peer"
	SourceList     = "list"
	SourceHealth   = "health"
)

// Reasons for a change of state.
const (
	ReasonErrorRatio     = "error_ratio"
	ReasonLatency        = "latency"
	ReasonDrainSignal    = "drain_signal"
	ReasonDrainEnded     = "drain_hold_over"
	ReasonEjectionEnded  = "ejection_over"
	ReasonEjectionBound  = "ejection_bound"
	ReasonNewInList      = "new_in_list"
	ReasonSlowStart      = "slow_start"
	ReasonSlowStartEnded = "slow_start_over"
)

// Change is a change of state or weight of a backend server. From equals To if
// only the weight has changed.
type Change struct {
	Address  string
	From, To State
	Weight   float64
	Reason   string
}

// DrainMark records that a backend server is draining. SignaledAt is the time of the
// original drain signal; it is negative if a peer received the signal before this
// process started. Source is one of the Source constants.
type DrainMark struct {
	Address    string
	SignaledAt time.Duration
	Source     string
}

type server struct {
	address string
	window  window

	// The fields below are guarded by Detector.mu.
	state              State
	reason             string
	until              time.Duration // end of ejection or slow start
	since              time.Duration // start of the current state
	ejections          int
	ejectionsChangedAt time.Duration // last change of ejections
	drainMark          DrainMark
	hasDrainMark       bool // drainMark is set
	// State and weight that the last Sweep returned.
	reportedState  State
	reportedWeight float64
	boundReported  bool // ejection_bound_reached was recorded
	failing        sustainedCondition
	slow           sustainedCondition
}

// sustainedCondition is a condition that takes effect only after it has been true
// for some time without interruption.
type sustainedCondition struct {
	active bool
	since  time.Duration
}

// update sets the condition at now and reports whether it has been active for
// minDuration.
func (c *sustainedCondition) update(now time.Duration, active bool, minDuration time.Duration) bool {
	if active && !c.active {
		c.since = now
	}
	c.active = active
	return active && now-c.since >= minDuration
}
