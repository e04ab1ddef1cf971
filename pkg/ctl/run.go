package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/operator"
)

// Run carries out a command, writes its output to out and returns the exit
// code.
func Run(ctx context.Context, o *Options, out io.Writer) int {
	argument := func(i int) string {
		if i < len(o.Arguments) {
			return url.PathEscape(o.Arguments[i])
		}
		return ""
	}
	switch o.Command {
	case "request":
		return question(ctx, o, out, "/v1/requests/"+argument(0), showRequests)
	case "refusals":
		return question(ctx, o, out, fmt.Sprintf("/v1/refusals?minutes=%d", o.Minutes), showRefusals)
	case "backend":
		if len(o.Arguments) > 1 {
			return question(ctx, o, out, "/v1/backends/"+argument(0)+"/"+argument(1), showBackend)
		}
		return question(ctx, o, out, "/v1/backends/"+argument(0), showBackends)
	case "settings":
		return question(ctx, o, out, "/v1/settings/"+argument(0), showSettings)
	case "instances":
		return question(ctx, o, out, "/v1/instances", showInstances)
	case "draining":
		return question(ctx, o, out, "/v1/draining", showDraining)
	case "measuring":
		return question(ctx, o, out, "/v1/measuring", showMeasuring)
	case "audit":
		return question(ctx, o, out, fmt.Sprintf("/v1/audit?after=%d&limit=%d", o.After, o.Limit), showAudit)
	case "explain":
		return explain(o, out)
	case "check":
		return check(o, out)
	case "diff":
		return diff(o, out)
	}
	_, _ = fmt.Fprintf(out, "unknown command %s\n", o.Command)
	return buildinfo.ExitUsage
}

// report is the JSON output of a question.
type report[T any] struct {
	Command  string      `json:"command"`
	Complete bool        `json:"complete"` // every entry asked has answered
	ExitCode int         `json:"exit_code"`
	Replies  []Answer[T] `json:"replies"`
}

// question asks all entries and writes what they said. show gets the usable
// answers; entries without one are listed after them.
func question[T any](ctx context.Context, o *Options, out io.Writer, path string, show func(*tabwriter.Writer, []Answer[T])) int {
	answers := ask[T](ctx, o, path)
	code := exitCode(answers)
	if o.JSON {
		complete := code == buildinfo.ExitOK || code == buildinfo.ExitNotFound
		writeJSON(out, report[T]{o.Command, complete, code, answers})
		return code
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var usable []Answer[T]
	for _, a := range answers {
		if a.Status == Answered {
			usable = append(usable, a)
		}
	}
	if len(usable) > 0 {
		show(w, usable)
	}
	for _, a := range answers {
		if a.Status == Unknown {
			line(w, "unknown at %s: %s", a.name(), a.Detail)
		}
	}
	for _, a := range answers {
		if a.Status == Unanswered {
			line(w, "NO ANSWER from %s: %s", a.name(), a.Detail)
		}
	}
	if code == buildinfo.ExitPartial {
		line(w, "The answer is not complete: %d of %d entries are missing.", len(answers)-countAnswered(answers), len(answers))
	}
	_ = w.Flush()
	return code
}

func countAnswered[T any](answers []Answer[T]) int {
	n := 0
	for _, a := range answers {
		if a.Status != Unanswered {
			n++
		}
	}
	return n
}

func writeJSON(out io.Writer, v any) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // a failing standard output cannot be reported anywhere
}

// line writes one line. Tabs separate columns.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// join lists names in a line and says how many are left out.
func join(names []string) string {
	const most = 8
	if len(names) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	}
	return strings.Join(names, ", ")
}

// Types of the results, for show functions.
type (
	requestAnswers  = []Answer[audit.Record]
	refusalAnswers  = []Answer[audit.Refusals]
	backendAnswers  = []Answer[operator.Backend]
	backendsAnswers = []Answer[[]operator.Backend]
)
