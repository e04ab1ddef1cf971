package transport

import (
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

// hopByHopHeaders lists the connection-specific fields of RFC 9110, section 7.6.1, and
// the older ones still in use. The entry answers Expect itself, because it
// buffers the whole request body. The Content-Length of a request is written
// from its body.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for line != "" {
			var name string
			name, line, _ = strings.Cut(line, ",")
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// fieldNames holds the configured field names in canonical form, together with
// the settings they come from. An empty name means that the field is not used.
type fieldNames struct {
	settings                         *dynamic.Service
	loadReport, state, shed, timeout string
	exchange, expectInstance         string
	instance, signature, rateLimit   string
	warmup                           string
	internalExchange                 bool // the exchange field has its default name, which callers do not use
}

func newFieldNames(s *dynamic.Service) *fieldNames {
	h := &s.Headers
	return &fieldNames{
		settings:         s,
		loadReport:       textproto.CanonicalMIMEHeaderKey(h.LoadReport),
		state:            textproto.CanonicalMIMEHeaderKey(h.State),
		shed:             textproto.CanonicalMIMEHeaderKey(h.Shed),
		timeout:          textproto.CanonicalMIMEHeaderKey(h.Timeout),
		exchange:         textproto.CanonicalMIMEHeaderKey(h.Exchange),
		expectInstance:   textproto.CanonicalMIMEHeaderKey(h.ExpectInstance),
		instance:         textproto.CanonicalMIMEHeaderKey(h.Instance),
		signature:        textproto.CanonicalMIMEHeaderKey(h.Signature),
		rateLimit:        textproto.CanonicalMIMEHeaderKey(h.RateLimit),
		warmup:           textproto.CanonicalMIMEHeaderKey(h.Warmup),
		internalExchange: h.Exchange == ExchangeHeader,
	}
}

// responsesSigned reports whether backend servers sign their responses with the
// exchange they belong to, so that a response of another exchange can be
// detected.
func (n *fieldNames) responsesSigned() bool { return n.signature != "" }

// extractSignals reads the signals of a response and removes their fields, which
// are meant for the entry and not for the caller. The rate limit stays: a caller
// may want to know why it was refused.
func (n *fieldNames) extractSignals(status int, h http.Header) Signals {
	var s Signals
	if v := h[n.loadReport]; len(v) == 1 {
		s.Report, s.HasReport = n.parseReport(v[0])
	}
	if v := h[n.state]; len(v) > 0 {
		s.Draining = strings.EqualFold(strings.TrimSpace(v[0]), n.settings.Headers.DrainingValue)
	}
	s.RateLimit = n.parseRateLimit(h)
	s.WarmupLeft, s.HasWarmupLeft = n.parseWarmupLeft(h)
	if status == http.StatusServiceUnavailable {
		s.RetryAfter = parseRetryAfter(h)
	}
	s.Shed = n.isShed(status, h[n.shed])
	if n.expectInstance != "" && status == http.StatusMisdirectedRequest {
		s = Signals{Misdirected: true, Shed: true} // the rest is about another backend server
	}
	delete(h, n.loadReport)
	delete(h, n.state)
	delete(h, n.shed)
	return s
}

// parseRateLimit returns the rate limit that a response states. A field that is
// repeated, not a number or negative states none.
func (n *fieldNames) parseRateLimit(h http.Header) routing.RateLimit {
	v := h[n.rateLimit]
	if n.rateLimit == "" || len(v) != 1 {
		return routing.RateLimit{}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(v[0]), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return routing.RateLimit{}
	}
	return routing.RateLimit{Stated: true, PerSecond: rate}
}

const (
	retryAfterHeader = "Retry-After"
	// maxRetryAfter bounds RetryAfter, so that a nonsensical value does not overflow.
	maxRetryAfter = 24 * time.Hour
)

// parseRetryAfter returns the value of Retry-After, a decimal number of seconds. A field
// that is repeated, in another form or negative states none.
func parseRetryAfter(h http.Header) time.Duration {
	v := h[retryAfterHeader]
	if len(v) != 1 {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(v[0]), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// isShed reports whether the shed field states that the request did not run.
func (n *fieldNames) isShed(status int, values []string) bool {
	if len(values) != 1 {
		return false
	}
	shedValue := n.settings.Headers.ShedValue
	if shedValue == "" {
		return status >= http.StatusBadRequest
	}
	return status == http.StatusServiceUnavailable && strings.EqualFold(strings.TrimSpace(values[0]), shedValue)
}

func (n *fieldNames) parseReport(text string) (routing.Report, bool) {
	if n.settings.Responses.ReportFormat == dynamic.ReportCounts {
		return ParseCounts(text)
	}
	return ParseReport(text)
}

// keepAliveTimeout returns the idle time after which the backend server closes
// the connection, or 0 if it is not stated.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
