package audit

import "time"

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request. Each request ends in exactly one.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeRan      Outcome = "ran"     // a request with the same key ran before, but its response was not stored
	OutcomeAborted  Outcome = "aborted" // the caller disconnected or its connection was aborted within the response
)

// Outcomes lists all values of Outcome.
var Outcomes = []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeRan, OutcomeAborted}

// Run states whether a request ran on a backend server. For a request with an
// idempotency key it applies to the key.
type Run string

// Values of Run.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Attempt is one attempt to send a request to a backend server.
type Attempt struct {
	Backend       string        `json:"backend"`
	FailureDomain string        `json:"failure_domain"`
	Offset        time.Duration `json:"offset_ns"` // from the start of the request
	Duration      time.Duration `json:"duration_ns"`
	Result        string        `json:"result"` // one of a fixed set of words
	BackendState  BackendState  `json:"seen"`
}

// BackendState is the state of a backend server as known to the instance that
// selected it for an attempt.
type BackendState struct {
	SameDomain   bool    `json:"near"`             // in the failure domain of the instance
	Unresponsive bool    `json:"mute,omitempty"`   // did not reply to a recent load query
	Reported     bool    `json:"reported"`         // the fields below are from a load report
	AgeMS        float64 `json:"age_ms,omitempty"` // age of the load report
	Running      int32   `json:"running,omitempty"`
	Waiting      int32   `json:"waiting,omitempty"`
	Slots        int32   `json:"slots,omitempty"`
	Slowdown     float64 `json:"slowdown,omitempty"` // 1: normal speed; 0: not reported
}

// Admission describes the last decision whether a request is admitted by its rank.
type Admission struct {
	Priority      int     `json:"priority"`  // of the route
	Rank          int     `json:"rank"`      // number of more urgent priorities of the service
	HeadroomRatio float64 `json:"headroom"`  // share of a backend server's range of load left to more urgent requests
	Occupancy     float64 `json:"occupancy"` // mean reported requests for each slot
	WaitedMS      float64 `json:"waited_ms"`
}

// Record describes one completed request.
type Record struct {
	RequestID string        `json:"request_id"`
	Service   string        `json:"service"` // empty if no such service exists
	Method    string        `json:"method"`
	Outcome   Outcome       `json:"outcome"`
	Run       Run           `json:"run"`
	Reason    string        `json:"reason,omitempty"` // one of a fixed set of words; empty if the request was not refused
	KeyState  string        `json:"key_state"`        // open, spent or none
	Status    int           `json:"status"`
	Attempts  []Attempt     `json:"attempts"`            // retained by the log; must not be modified afterwards
	HandedOn  bool          `json:"handed_on,omitempty"` // by a peer, which counts the request
	Admission *Admission    `json:"admission,omitempty"` // of the last attempt; nil: requests of the service have no ranks
	Start     time.Time     `json:"start"`
	Duration  time.Duration `json:"duration_ns"`
}

// RefusalCount is the number of refusals of a service with the same reason and
// Run.
type RefusalCount struct {
	Service string `json:"service"`
	Reason  string `json:"reason"`
	Run     Run    `json:"run"`
	Count   uint64 `json:"count"`
}

// Refusals holds the counts of refusals since From, most frequent first.
type Refusals struct {
	From   time.Time      `json:"from"` // start of the first counted minute
	Counts []RefusalCount `json:"counts"`
}

// Change is one state change in the audit trail.
type Change struct {
	Sequence uint64    `json:"sequence"` // starts at 1 and has no gaps
	Time     time.Time `json:"time"`
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	Text     string    `json:"text"`
	Fields   []Field   `json:"fields"`
}

// Field is a named value of a change, formatted as text.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Changes is a section of the audit trail.
type Changes struct {
	Changes []Change `json:"changes"`
	Missed  uint64   `json:"missed"` // evicted changes after the given sequence number
	Last    uint64   `json:"last"`   // newest sequence number of this instance
}

// Counts holds the numbers of recorded and evicted requests, changes and refusals.
type Counts struct {
	Requests         uint64             `json:"requests"`
	HandedOn         uint64             `json:"handed_on"` // requests that peers have handed on; not in the other counts
	RequestsEvicted  uint64             `json:"requests_evicted"`
	Changes          uint64             `json:"changes"`
	ChangesEvicted   uint64             `json:"changes_evicted"`
	RefusalsEvicted  uint64             `json:"refusals_evicted"` // refusals counted more than a day ago
	OldestRequest    time.Time          `json:"oldest_request"`   // start of the oldest retained request; zero if there is none
	RequestsByResult map[Outcome]uint64 `json:"requests_by_result"`
}
