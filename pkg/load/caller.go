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

// Outcomes. All but Answered and Replayed come from the member run of problem
// details, or stand for a response that did not arrive.
const (
	Answered Outcome = "answered" // the whole response to this request
	Replayed Outcome = "replayed" // the stored response of an earlier run
	Ran      Outcome = "ran"      // ran, without a response
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

const (
	maxResponseBytes = payload.MaxContentBytes + 4096
	keyHeader        = "Lentilpin-Key"
	replayedHeader   = "Idempotency-Replayed"
)

// reply is the outcome of one request.
type reply struct {
	outcome Outcome
	reason  string // fixed word of the system or of this package
	status  int
	local   bool   // no statement of the system: the exchange with it failed
	fault   string // a broken promise: foreign or damaged
	key     string // fresh key, if one came
}

// caller sends requests and judges the responses.
type caller struct {
	pool    *transport.Pool
	timeout time.Duration
}

// send sends one request with its token. An order is named by its token.
func (c *caller) send(ctx context.Context, address, method, path, token, key string) reply {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	h := http.Header{payload.TokenHeader: {token}}
	r := &transport.Request{Method: method, Target: path + "/" + token, Host: address, Header: h, Idempotent: method == http.MethodGet}
	if !r.Idempotent {
		h["X-Order-Id"] = []string{token}
		h["Idempotency-Key"] = []string{key}
		r.Body = []byte(`{"order":"` + token + `"}`)
	}
	resp, f := c.pool.Do(ctx, address, r)
	if f != nil {
		outcome := Unknown
		if f.NotRun {
			outcome = NotRun
		}
		return reply{outcome: outcome, reason: "caller_" + f.Kind.String(), local: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	out := reply{status: resp.Status, key: resp.Header.Get(keyHeader), outcome: Unknown}
	switch {
	case errors.Is(err, transport.ErrTruncated):
		out.reason = "response_cut_short"
	case err != nil:
		out.reason = "response_timeout"
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json"):
		out.outcome, out.reason = problem(body)
	case resp.Status != http.StatusOK:
		out.reason = "backend_error"
		if resp.Signals.Shed { // only visible without an entry in between
			out.outcome, out.reason = NotRun, "backend_shed"
		}
	default:
		out.outcome = Answered
		if resp.Header.Get(replayedHeader) == "true" {
			out.outcome = Replayed
		}
		out.fault = fault(body, token)
	}
	return out
}

func fault(body []byte, token string) string {
	switch _, err := payload.Check(body, token); {
	case errors.Is(err, payload.ErrForeign):
		return "foreign"
	case err != nil:
		return "damaged"
	}
	return ""
}

// problem reads the members that state what became of a request.
func problem(body []byte) (Outcome, string) {
	var p struct {
		Run    Outcome `json:"run"`
		Reason string  `json:"reason"`
	}
	if err := json.Unmarshal(body, &p); err != nil || p.Reason == "" {
		return Unknown, "problem_unreadable"
	}
	switch p.Run {
	case NotRun, Ran, Unknown:
		return p.Run, p.Reason
	}
	return Unknown, "problem_without_run"
}
