package gateway

import (
	"cmp"
	"net/textproto"
	"strconv"

	"lentilpin/pkg/config/dynamic"
)

// defaultRetryAfterMS is told to callers of refusals that a later try may not
// meet, in milliseconds.
const defaultRetryAfterMS = 1000

const millisPerSecond = 1000

// retryAfter returns the value of the Retry-After field.
func (r *callerRules) retryAfter() string {
	if r.FractionalRetryAfter {
		return strconv.FormatFloat(float64(r.RetryAfterMS)/millisPerSecond, 'f', 3, 64)
	}
	return strconv.Itoa((r.RetryAfterMS + millisPerSecond - 1) / millisPerSecond)
}

// callerRules are the settings of the interface to callers with their defaults
// applied.
type callerRules struct {
	dynamic.Callers
	requestID, timeout string // canonical header names
}

func newCallerRules(c *dynamic.Callers) *callerRules {
	r := &callerRules{
		Callers:   *c,
		requestID: textproto.CanonicalMIMEHeaderKey(cmp.Or(c.Headers.RequestID, headerRequestID)),
		timeout:   textproto.CanonicalMIMEHeaderKey(cmp.Or(c.Headers.Timeout, headerTimeout)),
	}
	r.RetryAfterMS = cmp.Or(c.RetryAfterMS, defaultRetryAfterMS)
	return r
}
