package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/buildinfo"
)

// maxLogLine limits the length of a log line, in bytes; a longer one is skipped.
const maxLogLine = 1 << 20

// logLine holds the fields of a log line that explain uses. The input may mix lines
// of several entries. Text before the JSON object, such as the name of the
// instance, is kept in prefix.
type logLine struct {
	Event     int              `json:"event"`
	Name      string           `json:"name"`
	Text      string           `json:"msg"`
	Time      time.Time        `json:"time"`
	RequestID string           `json:"request_id"`
	Service   string           `json:"service"`
	Route     string           `json:"route"`
	Version   uint64           `json:"version"`
	Outcome   string           `json:"outcome"`
	Run       string           `json:"run"`
	Reason    string           `json:"reason"`
	Status    int              `json:"status"`
	Duration  float64          `json:"duration_ms"`
	Deadline  float64          `json:"deadline_ms"`
	Attempts  []audit.Attempt  `json:"attempts"`
	Admission *audit.Admission `json:"admission,omitempty"`
	Address   string           `json:"address"`
	prefix    string
}

// explainReport is the JSON output of explain.
type explainReport struct {
	Command   string    `json:"command"`
	RequestID string    `json:"request_id"`
	Found     bool      `json:"found"`
	Lines     []logLine `json:"lines"`
	Skipped   int       `json:"skipped"` // number of lines that are not log lines
}

// explain combines the log lines of all entries about one request into a timeline.
func explain(o *Options, out io.Writer) int {
	in := io.Reader(os.Stdin)
	if len(o.Arguments) > 1 {
		f, err := os.Open(o.Arguments[1])
		if err != nil {
			printLine(out, "%s", err)
			return buildinfo.ExitFailure
		}
		defer f.Close()
		in = f
	}
	e := explainReport{Command: o.Command, RequestID: o.Arguments[0]}
	requestLines, backendLines, err := readLines(in, &e)
	if err != nil {
		printLine(out, "%s", err)
		return buildinfo.ExitFailure
	}
	e.Found, e.Lines = len(requestLines) > 0, append(requestLines, backendLines...)
	code := buildinfo.ExitOK
	if !e.Found {
		code = buildinfo.ExitNotFound
	}
	if o.JSON {
		writeJSON(out, e)
		return code
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	showTimeline(w, &e, requestLines, backendLines)
	_ = w.Flush()
	return code
}

// readLines returns the lines with the ID of the request and, of the others, the
// lines about the backend servers that the request was sent to. Both are sorted by
// time.
func readLines(in io.Reader, e *explainReport) (requestLines, backendLines []logLine, err error) {
	var addressLines []logLine
	reader := bufio.NewReaderSize(in, maxLogLine)
	for {
		text, tooLong, err := reader.ReadLine()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, nil, err
		}
		for tooLong && err == nil {
			text = nil
			_, tooLong, err = reader.ReadLine()
		}
		parsed, ok := parseLine(text)
		switch {
		case !ok:
			e.Skipped++
		case parsed.RequestID == e.RequestID:
			requestLines = append(requestLines, parsed)
		case parsed.Address != "":
			addressLines = append(addressLines, parsed)
		}
	}
	byTime := func(a, b logLine) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) }
	slices.SortStableFunc(requestLines, byTime)
	for _, parsed := range addressLines {
		for _, a := range requestLines {
			if slices.ContainsFunc(a.Attempts, func(t audit.Attempt) bool { return isBackendAddress(parsed.Address, t.Backend) }) {
				backendLines = append(backendLines, parsed)
				break
			}
		}
	}
	slices.SortStableFunc(backendLines, byTime)
	return requestLines, backendLines, nil
}

// isBackendAddress reports whether the address of a log line is that of a backend
// server, alone or followed by its identity.
func isBackendAddress(address, backend string) bool {
	rest, ok := strings.CutPrefix(address, backend)
	return ok && (rest == "" || rest[0] == '/')
}

func parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	if json.Unmarshal(text[start:], &l) != nil || l.Event == 0 {
		return logLine{}, false
	}
	l.prefix = strings.TrimSpace(replaceControlChars(string(text[:start])))
	return l, true
}

// replaceControlChars replaces control characters, so that untrusted input cannot
// send control sequences to the terminal.
func replaceControlChars(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

func showTimeline(w io.Writer, e *explainReport, requestLines, backendLines []logLine) {
	if !e.Found {
		printLine(w, "no line names the request %s (%d lines are no log lines)", replaceControlChars(e.RequestID), e.Skipped)
		return
	}
	for _, l := range requestLines {
		printLine(w, "%s %s %s: %s", l.Time.Format(time.RFC3339), l.prefix, l.Name, l.Text)
		if l.Outcome == "" {
			continue
		}
		printLine(w, "  service %s, route %s, settings version %d", l.Service, l.Route, l.Version)
		printLine(w, "  outcome %s, run %s, status %d, reason %s", l.Outcome, l.Run, l.Status, cmp.Or(l.Reason, "-"))
		printLine(w, "  took %.1f ms of %.1f ms", l.Duration, l.Deadline)
		if l.Admission != nil {
			printLine(w, "  %s", describeAdmission(l.Admission))
		}
		for i, a := range l.Attempts {
			printLine(w, "  attempt %d at %.1f ms to %s in %s: %s after %.1f ms; %s", i+1, milliseconds(a.Offset), a.Backend, a.FailureDomain, a.Result, milliseconds(a.Duration), describeBackendState(a.BackendState))
		}
	}
	if len(backendLines) > 0 {
		printLine(w, "about the backend servers that it was sent to:")
	}
	for _, l := range backendLines {
		printLine(w, "  %s %s %s %s: %s", l.Time.Format(time.RFC3339), l.prefix, l.Address, l.Name, l.Text)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// describeBackendState describes the load that was known of a backend server when
// it was selected.
func describeBackendState(s audit.BackendState) string {
	location := "in another failure domain"
	if s.SameDomain {
		location = "in the own failure domain"
	}
	if !s.Reported {
		return location + ", no load known"
	}
	return fmt.Sprintf("%s, %d running, %d waiting, %d slots, slowdown %.2f, known for %.1f ms", location, s.Running, s.Waiting, s.Slots, s.Slowdown, s.AgeMS)
}
