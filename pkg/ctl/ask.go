package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/operator"
)

const (
	// maxReplyBytes bounds what one entry can make this program hold.
	maxReplyBytes = 32 << 20
	// maxAtOnce bounds the connections that are open at once.
	maxAtOnce = 64
)

// Status is what came of asking one entry.
type Status string

// Values of Status.
const (
	Answered   Status = "answered"
	Unknown    Status = "unknown"    // it does not know what was asked for
	Unanswered Status = "unanswered" // no answer in time, or none that could be used
)

// Answer is what one entry said.
type Answer[T any] struct {
	Address  string            `json:"address"` // that was asked
	Status   Status            `json:"status"`
	Entry    operator.Identity `json:"entry"`
	Time     time.Time         `json:"time,omitzero"`    // wall clock of the entry
	Detail   string            `json:"detail,omitempty"` // why there is no result
	Duration time.Duration     `json:"duration_ns"`      // until the answer
	Result   *T                `json:"result,omitempty"`
}

// name is the name of the instance, or the address where it is not known.
func (a *Answer[T]) name() string {
	if a.Entry.Instance == "" {
		return a.Address
	}
	return a.Entry.Instance
}

// ask sends the same question to all entries at once. The answers are in the
// order of the entries.
func ask[T any](ctx context.Context, o *Options, path string) []Answer[T] {
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		// A redirect could carry the credential to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	answers := make([]Answer[T], len(o.Entries))
	var group errgroup.Group
	group.SetLimit(maxAtOnce)
	for i, address := range o.Entries {
		group.Go(func() error {
			start := time.Now()
			answers[i] = askOne[T](ctx, client, o, address, path)
			answers[i].Address, answers[i].Duration = address, time.Since(start)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return answers
}

func askOne[T any](ctx context.Context, client *http.Client, o *Options, address, path string) Answer[T] {
	failed := func(detail string) Answer[T] { return Answer[T]{Status: Unanswered, Detail: detail} }
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return failed(err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+o.Credential)
	resp, err := client.Do(req)
	if err != nil {
		return failed(describe(ctx, o, err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return failed(describe(ctx, o, err))
	case len(body) > maxReplyBytes:
		return failed("the reply is too long")
	case resp.StatusCode != http.StatusOK:
		return refused[T](resp.StatusCode, body)
	}
	var r operator.Reply[T]
	if err := json.Unmarshal(body, &r); err != nil {
		return failed("the reply is not from an operator interface of this version: " + err.Error())
	}
	return Answer[T]{Status: Answered, Entry: r.Entry, Time: r.Time, Result: &r.Result}
}

func refused[T any](status int, body []byte) Answer[T] {
	var p operator.Problem
	a := Answer[T]{Status: Unanswered}
	if json.Unmarshal(body, &p) != nil || p.Detail == "" {
		p.Detail = http.StatusText(status)
	}
	a.Entry, a.Detail = p.Entry, p.Detail
	if status == http.StatusNotFound && p.Type == operator.ProblemUnknown {
		a.Status = Unknown
	}
	return a
}

func describe(ctx context.Context, o *Options, err error) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "no answer within " + o.Timeout.String()
	}
	var ue *url.Error
	if errors.As(err, &ue) {
		err = ue.Err // the address is named already
	}
	return err.Error()
}

// exitCode is the code for a set of answers. An entry that did not answer might
// have known, so it outweighs "unknown".
func exitCode[T any](answers []Answer[T]) int {
	var answered, unknown, unanswered int
	for _, a := range answers {
		switch a.Status {
		case Answered:
			answered++
		case Unknown:
			unknown++
		case Unanswered:
			unanswered++
		}
	}
	switch {
	case answered+unknown == 0:
		return buildinfo.ExitFailure
	case unanswered > 0:
		return buildinfo.ExitPartial
	case answered == 0:
		return buildinfo.ExitNotFound
	}
	return buildinfo.ExitOK
}
