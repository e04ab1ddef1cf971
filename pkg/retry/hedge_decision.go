package retry

import "time"

// HedgeDecision says whether a hedge is sent, or why not.
type HedgeDecision uint8

// Decisions about a hedge. The order is that of the checks.
const (
	HedgeSent          HedgeDecision = iota
	HedgeTooLate                     // its response could not arrive within the target latency
	HedgeFirstNotSlow                // the backend server of the first attempt runs at its usual speed
	HedgeNoCapacity                  // no other backend server has reported room
	HedgeServiceBudget               // the share of the requests of the service is used up
	HedgeFleetBudget                 // the share of the requests of all services is used up
	HedgeRetryBudget                 // the retry budget has nothing left beyond its reserve for retries
	HedgeDecisionCount               // number of decisions
)

var hedgeDecisionNames = [HedgeDecisionCount]string{
	"sent", "too_late", "first_not_slow", "no_capacity", "service_budget", "fleet_budget", "retry_budget",
}

// String returns the decision as it appears in metrics and in the operator interface.
func (d HedgeDecision) String() string { return hedgeDecisionNames[d] }

const (
	// minFirstSlowdown is the slowdown of the backend server of the first attempt from
	// which a second attempt, which does all of the work again, is likely to end first.
	minFirstSlowdown = 1.5
	// maxFirstReportAge is the age up to which a report says whether that backend server
	// is slow now. Its speed changes within a few hundred milliseconds.
	maxFirstReportAge = 150 * time.Millisecond
	// recheckFactor is the time after which a request whose first backend server was not
	// slow is examined again, as a multiple of the usual latency.
	recheckFactor = 0.5
	// EarlyHedgeFactor is the share of the hedge delay after which a request whose first
	// backend server is known to be slow is hedged. No load query is sent to learn that.
	EarlyHedgeFactor = 0.5
)

// HedgeCheck is what an instance knows of a request that is still in progress.
type HedgeCheck struct {
	Elapsed  time.Duration // since the caller's request arrived
	Target   time.Duration // target latency of the route; 0: none
	Baseline time.Duration // usual latency of the route; 0: not known
	First    FirstServer
}

// FirstServer is what the backend server of the first attempt has reported.
type FirstServer struct {
	Reported  bool // it has reported its load since the attempt began
	ReportAge time.Duration
	Slowdown  float64 // 0: not stated
	Queued    int32   // requests that wait for a slot; the first attempt may be one of them
}

// Decide returns HedgeTooLate, HedgeFirstNotSlow, or HedgeSent if neither applies.
func (c HedgeCheck) Decide() HedgeDecision {
	switch {
	case c.Target > 0 && c.Baseline > 0 && c.Elapsed+c.Baseline > c.Target:
		return HedgeTooLate
	case c.First.isAtUsualSpeed():
		return HedgeFirstNotSlow
	}
	return HedgeSent
}

// RecheckAfter returns the time after which a request that was not hedged because of
// HedgeFirstNotSlow is examined again, or false if a hedge would then be too late or
// the route has no target latency.
func (c HedgeCheck) RecheckAfter() (time.Duration, bool) {
	wait := time.Duration(recheckFactor * float64(c.Baseline))
	if c.Target == 0 || c.Baseline == 0 || c.Elapsed+wait+c.Baseline > c.Target {
		return 0, false
	}
	return wait, true
}

// IsSlow reports whether the backend server has stated recently that it is slow.
func (f FirstServer) IsSlow() bool {
	return f.Reported && f.ReportAge <= maxFirstReportAge && f.Slowdown >= minFirstSlowdown
}

// isAtUsualSpeed reports whether the backend server has stated recently that it is not
// slow and that no request waits. The request itself is long then, and a second attempt
// would take as long.
func (f FirstServer) isAtUsualSpeed() bool {
	return f.Reported && f.ReportAge <= maxFirstReportAge && f.Slowdown > 0 && f.Slowdown < minFirstSlowdown && f.Queued == 0
}
