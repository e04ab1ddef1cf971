package transport

import (
	"net/http"
	"net/textproto"
	"strings"

	"lentilpin/pkg/config/dynamic"
)

// hopByHop are the fields of one connection (RFC 9110, section 7.6.1) and the
// older ones that are in use. Expect is answered by the entry itself, which
// holds the whole body. Content-Length of a request is written from its body.
var hopByHop = [...]string{
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
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// fieldNames are the configured field names in canonical form, kept with the
// settings that they come from.
type fieldNames struct {
	settings                         *dynamic.Service
	loadReport, state, shed, timeout string
}

func newFieldNames(s *dynamic.Service) *fieldNames {
	return &fieldNames{
		settings:   s,
		loadReport: textproto.CanonicalMIMEHeaderKey(s.Headers.LoadReport),
		state:      textproto.CanonicalMIMEHeaderKey(s.Headers.State),
		shed:       textproto.CanonicalMIMEHeaderKey(s.Headers.Shed),
		timeout:    textproto.CanonicalMIMEHeaderKey(s.Headers.Timeout),
	}
}

const (
	stateDraining = "draining"
	shedNotRun    = "not-run"
)

// takeSignals reads the signals of a response and removes their fields, which
// are meant for the entry and not for the caller.
func (n *fieldNames) takeSignals(status int, h http.Header) Signals {
	var s Signals
	if v := h[n.loadReport]; len(v) == 1 {
		s.Report, s.HasReport = ParseReport(v[0])
	}
	if v := h[n.state]; len(v) > 0 {
		s.Draining = strings.EqualFold(strings.TrimSpace(v[0]), stateDraining)
	}
	if v := h[n.shed]; len(v) == 1 && status == http.StatusServiceUnavailable {
		s.Shed = strings.EqualFold(strings.TrimSpace(v[0]), shedNotRun)
	}
	delete(h, n.loadReport)
	delete(h, n.state)
	delete(h, n.shed)
	return s
}
