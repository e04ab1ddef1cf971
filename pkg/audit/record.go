package audit

import "time"

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request. Each request ends in exactly one.
const (
	Answered       Outcome = "answered"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"     // ran, but the response was not delivered whole or is a replay without a body
	Aborted        Outcome = "aborted" // the caller disconnected
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{Answered, OutcomeNotRun, OutcomeUnknown, OutcomeRan, Aborted}

// Run is what is known of the run of a request, or of its key where it has one.
type Run string

// Values of Run.
const (
	NotRun  Run = "not_run"
	Ran     Run = "ran"
	Unknown Run = "unknown"
)

// Attempt is one attempt at a backend server.
type Attempt struct {
	Backend       string        `json:"backend"`
	FailureDomain string        `json:"failure_domain"`
	Offset        time.Duration `json:"offset_ns"` // from the start of the request
	Duration      time.Duration `json:"duration_ns"`
	Result        string        `json:"result"` // a fixed word
	Seen          Seen          `json:"seen"`
}

// Seen is what an instance knew of a backend server when it chose it.
type Seen struct {
	Near     bool    `json:"near"`             // in the failure domain of the instance
	Mute     bool    `json:"mute,omitempty"`   // did not reply to a recent question for its load
	Reported bool    `json:"reported"`         // the rest is that of a load report
	AgeMS    float64 `json:"age_ms,omitempty"` // of the report
	Running  int32   `json:"running,omitempty"`
	Waiting  int32   `json:"waiting,omitempty"`
	Slots    int32   `json:"slots,omitempty"`
	Slowdown float64 `json:"slowdown,omitempty"` // 1: as usual; 0: not stated
}

// Record is one request.
type Record struct {
	RequestID string        `json:"request_id"`
	Service   string        `json:"service"` // empty if no such service exists
	Method    string        `json:"method"`
	Outcome   Outcome       `json:"outcome"`
	Run       Run           `json:"run"`
	Reason    string        `json:"reason,omitempty"` // a fixed word; empty if the request was not refused
	KeyState  string        `json:"key_state"`        // open, spent or none
	Status    int           `json:"status"`
	Attempts  []Attempt     `json:"attempts"` // kept by the log, not to be changed afterwards
	Start     time.Time     `json:"start"`
	Duration  time.Duration `json:"duration_ns"`
}

// ReasonCount is the number of refusals with one reason.
type ReasonCount struct {
	Service string `json:"service"`
	Reason  string `json:"reason"`
	Run     Run    `json:"run"`
	Count   uint64 `json:"count"`
}

// Refusals are the refusals since From, the most frequent first.
type Refusals struct {
	From   time.Time     `json:"from"` // start of the first minute that is counted
	Counts []ReasonCount `json:"counts"`
}

// Change is one entry of the audit trail.
type Change struct {
	Sequence uint64    `json:"sequence"` // counts from 1 without gaps
	Time     time.Time `json:"time"`
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	Text     string    `json:"text"`
	Fields   []Field   `json:"fields"`
}

// Field is one named value of a change as text.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Changes is a part of the audit trail.
type Changes struct {
	Changes []Change `json:"changes"`
	Missed  uint64   `json:"missed"` // changes after the given sequence number that have fallen off
	Last    uint64   `json:"last"`   // newest sequence number of this instance
}

// Counts says what the log has taken and what has fallen off.
type Counts struct {
	Requests         uint64             `json:"requests"`
	RequestsEvicted  uint64             `json:"requests_evicted"`
	Changes          uint64             `json:"changes"`
	ChangesEvicted   uint64             `json:"changes_evicted"`
	RefusalsEvicted  uint64             `json:"refusals_evicted"` // counted more than a day ago
	OldestRequest    time.Time          `json:"oldest_request"`   // start; zero if there is none
	RequestsByResult map[Outcome]uint64 `json:"requests_by_result"`
}
