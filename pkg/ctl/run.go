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

// Run executes a command, writes its output to out and returns the exit code.
func Run(ctx context.Context, o *Options, out io.Writer) int {
	argument := func(i int) string {
		if i < len(o.Arguments) {
			return url.PathEscape(o.Arguments[i])
		}
		return ""
	}
	switch o.Command {
	case "request":
		return runQuery(ctx, o, out, "/v1/requests/"+argument(0), showRequests)
	case "refusals":
		return runQuery(ctx, o, out, fmt.Sprintf("/v1/refusals?minutes=%d", o.Minutes), showRefusals)
	case "backend":
		if len(o.Arguments) > 1 {
			return runQuery(ctx, o, out, "/v1/backends/"+argument(0)+"/"+argument(1), showBackend)
		}
		return runQuery(ctx, o, out, "/v1/backends/"+argument(0), showBackends)
	case "settings":
		return runQuery(ctx, o, out, "/v1/settings/"+argument(0), showSettings)
	case "instances":
		return runQuery(ctx, o, out, "/v1/instances", showInstances)
	case "draining":
		return runQuery(ctx, o, out, "/v1/draining", showDraining)
	case "measuring":
		return runQuery(ctx, o, out, "/v1/measuring", showMeasuring)
	case "hedges":
		return runQuery(ctx, o, out, "/v1/hedges", showHedges)
	case "audit":
		return runQuery(ctx, o, out, fmt.Sprintf("/v1/audit?after=%d&limit=%d", o.After, o.Limit), showAudit)
	case "explain":
		return explain(o, out)
	case "check":
		return checkTree(o, out)
	case "diff":
		return diffTrees(o, out)
	}
	_, _ = fmt.Fprintf(out, "unknown command %s\n", o.Command)
	return buildinfo.ExitUsage
}

// queryReport is the JSON output of a query.
type queryReport[T any] struct {
	Command  string          `json:"command"`
	Complete bool            `json:"complete"` // whether every queried entry replied
	ExitCode int             `json:"exit_code"`
	Replies  []EntryReply[T] `json:"replies"`
}

// runQuery queries all entries and writes their replies. show receives the replies
// with a result; the other entries are listed after them.
func runQuery[T any](ctx context.Context, o *Options, out io.Writer, path string, show func(*tabwriter.Writer, []EntryReply[T])) int {
	replies := queryEntries[T](ctx, o, path)
	code := exitCode(replies)
	if o.JSON {
		complete := code == buildinfo.ExitOK || code == buildinfo.ExitNotFound
		writeJSON(out, queryReport[T]{o.Command, complete, code, replies})
		return code
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	var usable []EntryReply[T]
	for _, reply := range replies {
		if reply.Status == StatusAnswered {
			usable = append(usable, reply)
		}
	}
	if len(usable) > 0 {
		show(w, usable)
	}
	for _, reply := range replies {
		if reply.Status == StatusUnknown {
			printLine(w, "unknown at %s: %s", reply.entryName(), reply.Detail)
		}
	}
	for _, reply := range replies {
		if reply.Status == StatusUnanswered {
			printLine(w, "NO ANSWER from %s: %s", reply.entryName(), reply.Detail)
		}
	}
	if code == buildinfo.ExitPartial {
		printLine(w, "The answer is not complete: %d of %d entries are missing.", len(replies)-countReplies(replies), len(replies))
	}
	_ = w.Flush()
	return code
}

// countReplies returns the number of entries that replied.
func countReplies[T any](replies []EntryReply[T]) int {
	n := 0
	for _, reply := range replies {
		if reply.Status != StatusUnanswered {
			n++
		}
	}
	return n
}

func writeJSON(out io.Writer, v any) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v) // an error of standard output cannot be reported
}

// printLine writes one formatted line. Tabs separate columns.
func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// joinNames joins names with commas and states how many are omitted.
func joinNames(names []string) string {
	const maxNames = 8
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}

// Types of the replies that show functions receive.
type (
	requestReplies     = []EntryReply[audit.Record]
	refusalReplies     = []EntryReply[audit.Refusals]
	backendReplies     = []EntryReply[operator.Backend]
	backendListReplies = []EntryReply[[]operator.Backend]
)
