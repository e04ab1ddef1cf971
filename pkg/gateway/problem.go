package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// Names of header fields between callers and entries.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	replayedHeader       = "Idempotency-Replayed"
	requestIDHeader      = "Lentilpin-Request-Id"
	keyHeader            = "Lentilpin-Key"
	runHeader            = "Lentilpin-Run"
	timeoutHeader        = "Request-Timeout"
	forwardedForHeader   = "X-Forwarded-For"
)

// Problem is the body of a refusal: problem details as in RFC 9457 with
// extension members.
type Problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Instance  string `json:"instance"`
	RequestID string `json:"request_id"`
	Run       string `json:"run"`
	Reason    string `json:"reason"`
	KeyState  string `json:"key_state"`
}

// writeProblem sends res to the caller as problem details. Write errors are
// ignored: they mean that the caller is gone, which does not change the
// outcome.
func writeProblem(w http.ResponseWriter, config *callerConfig, id string, res result) {
	body, err := json.Marshal(Problem{
		Type:      "urn:lentilpin:reason:" + res.reason,
		Title:     http.StatusText(res.status),
		Status:    res.status,
		Detail:    res.detail,
		Instance:  "urn:lentilpin:request:" + id,
		RequestID: id,
		Run:       string(res.run),
		Reason:    res.reason,
		KeyState:  res.keyState,
	})
	if err != nil {
		panic(err) // cannot happen: the struct has only strings and numbers
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	if res.sendRetryAfter {
		h.Set("Retry-After", config.retryAfter(res.retryAfter, res.exactRetryAfter))
	}
	w.WriteHeader(res.status)
	_, _ = w.Write(body)
}
