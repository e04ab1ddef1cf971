package gateway

import (
	"cmp"
	"net/textproto"
	"strconv"
	"time"

	"lentilpin/pkg/config/dynamic"
)

// defaultRetryAfterMS is the default delay, in milliseconds, in the Retry-After
// field of refusals that are temporary.
const defaultRetryAfterMS = 1000

const millisPerSecond = 1000

// retryAfter returns the value of the Retry-After field in seconds, rounded up
// unless fractions are enabled: the setting or, if longer or exact, value.
func (r *callerConfig) retryAfter(value time.Duration, isExact bool) string {
	ms := int(value.Milliseconds())
	if !isExact {
		ms = max(r.RetryAfterMS, ms)
	}
	if r.FractionalRetryAfter {
		return strconv.FormatFloat(float64(ms)/millisPerSecond, 'f', 3, 64)
	}
	return strconv.Itoa((ms + millisPerSecond - 1) / millisPerSecond)
}

// callerConfig holds the settings of the interface to callers with defaults
// applied.
type callerConfig struct {
	dynamic.Callers
	requestID, timeout string // canonical header names
}

func newCallerConfig(c *dynamic.Callers) *callerConfig {
	r := &callerConfig{
		Callers:   *c,
		requestID: textproto.CanonicalMIMEHeaderKey(cmp.Or(c.Headers.RequestID, requestIDHeader)),
		timeout:   textproto.CanonicalMIMEHeaderKey(cmp.Or(c.Headers.Timeout, timeoutHeader)),
	}
	r.RetryAfterMS = cmp.Or(c.RetryAfterMS, defaultRetryAfterMS)
	return r
}
