package gateway

import (
	"time"

	"lentilpin/pkg/audit"
)

// Reasons of refusals. They are fixed values in the interface to callers.
const (
	reasonMalformed      = "malformed_request"
	reasonUnknownService = "unknown_service"
	reasonUnknownRoute   = "unknown_route"
	reasonHeaderTooLarge = "header_too_large"
	reasonHeaderMemory   = "header_memory"
	reasonIDRequired     = "request_id_required"
	reasonNotReady       = "not_ready"
	reasonUnconfirmed    = "settings_unconfirmed"
	reasonQuarantined    = "quarantined"
	reasonBodyTooLarge   = "body_too_large"
	reasonBodyIncomplete = "body_incomplete"
	reasonBodyMemory     = "body_memory"
	reasonDeadline       = "deadline_exceeded"
	reasonOverloaded     = "overloaded"
	reasonOutranked      = "outranked"
	reasonDisplaced      = "displaced"
	reasonRateLimited    = "rate_limited"
	reasonNoBackend      = "no_backend_server"
	reasonEvacuated      = "evacuated"
	reasonUnreachable    = "backends_unreachable"
	reasonAttemptsFailed = "attempts_failed"
	reasonBackendLost    = "backend_connection_lost"
	reasonCallerGone     = "caller_gone"
	reasonResponseCut    = "response_cut_short"
	reasonKeyRequired    = "key_required"
	reasonGrantExpired   = "grant_expired"
	reasonShuttingDown   = "shutting_down"
	reasonReplayed       = "replayed"
)

// result describes how a request ended.
type result struct {
	outcome        audit.Outcome
	run            audit.Run
	reason         string // empty for a response that was delivered completely
	status         int
	detail         string
	keyState       string
	sendRetryAfter bool // the cause is temporary: the response has a Retry-After field
	// retryAfter is the value of that field if it is above the setting of the
	// callers.
	retryAfter time.Duration
	// exactRetryAfter makes retryAfter the value of the field also if it is below that
	// setting.
	exactRetryAfter bool
}

// notRunResult returns the refusal of a request that did not run.
func notRunResult(status int, reason, detail string) result {
	return result{outcome: audit.OutcomeNotRun, run: audit.NotRun, status: status, reason: reason, detail: detail}
}

// unknownResult returns the refusal of a request that may have run.
func unknownResult(status int, reason, detail string) result {
	return result{outcome: audit.OutcomeUnknown, run: audit.Unknown, status: status, reason: reason, detail: detail}
}

// withRetryAfter returns a copy of r whose response has a Retry-After field.
func (r result) withRetryAfter() result {
	r.sendRetryAfter = true
	return r
}

// Values of the key_state member of problem details.
const (
	keyStateNone  = "none"
	keyStateOpen  = "open"
	keyStateSpent = "spent"
)
