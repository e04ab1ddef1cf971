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
	// maxReplyBytes limits the memory for the reply of one entry.
	maxReplyBytes = 32 << 20
	// maxConcurrentQueries limits the number of simultaneous connections.
	maxConcurrentQueries = 64
)

// Status is the outcome of a query to one entry.
type Status string

// Values of Status.
const (
	StatusAnswered   Status = "answered"
	StatusUnknown    Status = "unknown"    // the entry does not know the requested object
	StatusUnanswered Status = "unanswered" // no reply in time, or not a valid one
)

// EntryReply is the reply of one entry, or the reason why there is none.
type EntryReply[T any] struct {
	Address  string            `json:"address"` // operator address of the entry
	Status   Status            `json:"status"`
	Entry    operator.Identity `json:"entry"`
	Time     time.Time         `json:"time,omitzero"`    // wall clock of the entry
	Detail   string            `json:"detail,omitempty"` // why there is no result
	Duration time.Duration     `json:"duration_ns"`      // from the request to the reply or failure
	Result   *T                `json:"result,omitempty"`
}

// entryName returns the name of the instance, or the address if the name is not
// known.
func (r *EntryReply[T]) entryName() string {
	if r.Entry.Instance == "" {
		return r.Address
	}
	return r.Entry.Instance
}

// queryEntries sends the same query to all entries in parallel. The replies are in
// the order of the entries.
func queryEntries[T any](ctx context.Context, o *Options, path string) []EntryReply[T] {
	client := &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		// Following a redirect could send the credential to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	replies := make([]EntryReply[T], len(o.Entries))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, address := range o.Entries {
		group.Go(func() error {
			start := time.Now()
			replies[i] = queryEntry[T](ctx, client, o, address, path)
			replies[i].Address, replies[i].Duration = address, time.Since(start)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	return replies
}

func queryEntry[T any](ctx context.Context, client *http.Client, o *Options, address, path string) EntryReply[T] {
	unanswered := func(detail string) EntryReply[T] { return EntryReply[T]{Status: StatusUnanswered, Detail: detail} }
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return unanswered(err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+o.Credential)
	resp, err := client.Do(req)
	if err != nil {
		return unanswered(describeError(ctx, o, err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return unanswered(describeError(ctx, o, err))
	case len(body) > maxReplyBytes:
		return unanswered("the reply is too long")
	case resp.StatusCode != http.StatusOK:
		return problemReply[T](resp.StatusCode, body)
	}
	var r operator.Reply[T]
	if err := json.Unmarshal(body, &r); err != nil {
		return unanswered("the reply is not from an operator interface of this version: " + err.Error())
	}
	return EntryReply[T]{Status: StatusAnswered, Entry: r.Entry, Time: r.Time, Result: &r.Result}
}

// problemReply converts the body of a response with another status than 200.
func problemReply[T any](status int, body []byte) EntryReply[T] {
	var p operator.Problem
	reply := EntryReply[T]{Status: StatusUnanswered}
	if json.Unmarshal(body, &p) != nil || p.Detail == "" {
		p.Detail = http.StatusText(status)
	}
	reply.Entry, reply.Detail = p.Entry, p.Detail
	if status == http.StatusNotFound && p.Type == operator.ProblemUnknown {
		reply.Status = StatusUnknown
	}
	return reply
}

func describeError(ctx context.Context, o *Options, err error) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "no answer within " + o.Timeout.String()
	}
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err // the output already names the address
	}
	return err.Error()
}

// exitCode returns the exit code for a set of replies. Missing replies take
// precedence over ExitNotFound, because an entry that did not reply may know the
// object.
func exitCode[T any](replies []EntryReply[T]) int {
	var answered, unknown, unanswered int
	for _, reply := range replies {
		switch reply.Status {
		case StatusAnswered:
			answered++
		case StatusUnknown:
			unknown++
		case StatusUnanswered:
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
