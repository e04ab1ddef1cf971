package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/load/payload"
	"lentilpin/pkg/transport"
)

// Outcome is what a caller was told about one request.
type Outcome string

// Values of Outcome. All except Answered and Replayed are the member run of the
// problem details, or are set by this package where a response did not arrive or
// has no such member.
const (
	Answered Outcome = "answered" // the complete response to this request
	Replayed Outcome = "replayed" // the stored response of an earlier run
	Ran      Outcome = "ran"      // the request ran, but its response is not available
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

const (
	maxResponseBytes = payload.MaxContentBytes + 4096
	keyHeader        = "Lentilpin-Key"
	replayedHeader   = "Idempotency-Replayed"
)

type requestResult struct {
	outcome         Outcome
	reason          string // one of a fixed set of words, from the problem details or this package
	status          int
	transportFailed bool   // the exchange failed, so outcome is not a statement of the system
	bodyError       string // foreign, damaged or empty
	key             string // new idempotency key from the response, or empty
}

// caller sends requests and classifies the responses.
type caller struct {
	pool    *transport.Pool
	timeout time.Duration
}

// send sends one request with its token, which is also the ID of an order, and
// waits for the response.
func (c *caller) send(ctx context.Context, address, method, path, token, key string) requestResult {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header := http.Header{payload.TokenHeader: {token}}
	request := &transport.Request{Method: method, Target: path + "/" + token, Host: address, Header: header, Idempotent: method == http.MethodGet}
	if !request.Idempotent {
		header["X-Order-Id"] = []string{token}
		header["Idempotency-Key"] = []string{key}
		request.Body = []byte(`{"order":"` + token + `"}`)
	}
	resp, failure := c.pool.Do(ctx, address, request)
	if failure != nil {
		outcome := Unknown
		if failure.NotRun {
			outcome = NotRun
		}
		return requestResult{outcome: outcome, reason: "caller_" + failure.Kind.String(), transportFailed: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	result := requestResult{status: resp.Status, key: resp.Header.Get(keyHeader), outcome: Unknown}
	switch {
	case errors.Is(err, transport.ErrTruncated):
		result.reason = "response_cut_short"
	case err != nil:
		result.reason = "response_timeout"
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json"):
		result.outcome, result.reason = parseProblem(body)
	case resp.Status != http.StatusOK:
		result.reason = "backend_error"
		if resp.Signals.Shed { // visible only in responses to direct requests
			result.outcome, result.reason = NotRun, "backend_shed"
		}
	default:
		result.outcome = Answered
		if resp.Header.Get(replayedHeader) == "true" {
			result.outcome = Replayed
		}
		result.bodyError = bodyError(body, token)
	}
	return result
}

// bodyError returns foreign if the body belongs to another request, damaged if it
// is truncated or corrupt, or the empty string.
func bodyError(body []byte, token string) string {
	switch _, err := payload.Check(body, token); {
	case errors.Is(err, payload.ErrForeign):
		return "foreign"
	case err != nil:
		return "damaged"
	}
	return ""
}

// parseProblem returns the outcome and reason stated by the problem details.
func parseProblem(body []byte) (Outcome, string) {
	var details struct {
		Run    Outcome `json:"run"`
		Reason string  `json:"reason"`
	}
	if err := json.Unmarshal(body, &details); err != nil || details.Reason == "" {
		return Unknown, "problem_unreadable"
	}
	switch details.Run {
	case NotRun, Ran, Unknown:
		return details.Run, details.Reason
	}
	return Unknown, "problem_without_run"
}
