package gateway

import "lentilpin/pkg/audit"

// Reasons of refusals. They are fixed words of the interface to callers.
const (
	reasonMalformed      = "malformed_request"
	reasonUnknownService = "unknown_service"
	reasonUnknownRoute   = "unknown_route"
	reasonHeaderTooLarge = "header_too_large"
	reasonIDRequired     = "request_id_required"
	reasonNotReady       = "not_ready"
	reasonUnconfirmed    = "settings_unconfirmed"
	reasonQuarantined    = "quarantined"
	reasonBodyTooLarge   = "body_too_large"
	reasonBodyIncomplete = "body_incomplete"
	reasonDeadline       = "deadline_exceeded"
	reasonOverloaded     = "overloaded"
	reasonNoBackend      = "no_backend_server"
	reasonAttemptsFailed = "attempts_failed"
	reasonBackendLost    = "backend_connection_lost"
	reasonCallerGone     = "caller_gone"
	reasonResponseCut    = "response_cut_short"
	reasonKeyRequired    = "key_required"
	reasonGrantExpired   = "grant_expired"
	reasonReplayed       = "replayed"
)

// result is how a request ended.
type result struct {
	outcome  audit.Outcome
	run      audit.Run
	reason   string // empty for a response passed on whole
	status   int
	detail   string
	keyState string
	retry    bool // a later try may not meet the reason: Retry-After is stated
}

// notRun returns the refusal of a request that did not run.
func notRun(status int, reason, detail string) result {
	return result{outcome: audit.OutcomeNotRun, run: audit.NotRun, status: status, reason: reason, detail: detail}
}

// unknown returns the refusal of a request that may have run.
func unknown(status int, reason, detail string) result {
	return result{outcome: audit.OutcomeUnknown, run: audit.Unknown, status: status, reason: reason, detail: detail}
}

// retryLater adds the Retry-After field.
func (r result) retryLater() result {
	r.retry = true
	return r
}

// Key states of problem details.
const (
	keyNone  = "none"
	keyOpen  = "open"
	keySpent = "spent"
)
