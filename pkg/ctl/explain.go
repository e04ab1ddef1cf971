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

// maxLogLine bounds one log line; a longer one is passed over.
const maxLogLine = 1 << 20

// logLine is what explain reads of a log line. Lines of any entry may be mixed,
// and text before the JSON object, such as the name of the instance, is kept.
type logLine struct {
	Event     int             `json:"event"`
	Name      string          `json:"name"`
	Text      string          `json:"msg"`
	Time      time.Time       `json:"time"`
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Route     string          `json:"route"`
	Version   uint64          `json:"version"`
	Outcome   string          `json:"outcome"`
	Run       string          `json:"run"`
	Reason    string          `json:"reason"`
	Status    int             `json:"status"`
	Duration  float64         `json:"duration_ms"`
	Deadline  float64         `json:"deadline_ms"`
	Attempts  []audit.Attempt `json:"attempts"`
	Address   string          `json:"address"`
	prefix    string
}

// explained is the JSON output of explain.
type explained struct {
	Command   string    `json:"command"`
	RequestID string    `json:"request_id"`
	Found     bool      `json:"found"`
	Lines     []logLine `json:"lines"`
	Skipped   int       `json:"skipped"` // lines that are no log lines
}

// explain joins the lines about one request, over all entries, into one story.
func explain(o *Options, out io.Writer) int {
	in := io.Reader(os.Stdin)
	if len(o.Arguments) > 1 {
		f, err := os.Open(o.Arguments[1])
		if err != nil {
			line(out, "%s", err)
			return buildinfo.ExitFailure
		}
		defer f.Close()
		in = f
	}
	e := explained{Command: o.Command, RequestID: o.Arguments[0]}
	about, others, err := readLines(in, &e)
	if err != nil {
		line(out, "%s", err)
		return buildinfo.ExitFailure
	}
	e.Found, e.Lines = len(about) > 0, append(about, others...)
	code := buildinfo.ExitOK
	if !e.Found {
		code = buildinfo.ExitNotFound
	}
	if o.JSON {
		writeJSON(out, e)
		return code
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	showStory(w, &e, about, others)
	_ = w.Flush()
	return code
}

// readLines returns the lines that name the request and, of the rest, those about
// the backend servers that it was sent to.
func readLines(in io.Reader, e *explained) (about, others []logLine, err error) {
	var rest []logLine
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
		one, ok := parseLine(text)
		switch {
		case !ok:
			e.Skipped++
		case one.RequestID == e.RequestID:
			about = append(about, one)
		case one.Address != "":
			rest = append(rest, one)
		}
	}
	byTime := func(a, b logLine) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) }
	slices.SortStableFunc(about, byTime)
	for _, one := range rest {
		for _, a := range about {
			if slices.ContainsFunc(a.Attempts, func(t audit.Attempt) bool { return strings.HasPrefix(one.Address, t.Backend) }) {
				others = append(others, one)
				break
			}
		}
	}
	slices.SortStableFunc(others, byTime)
	return about, others, nil
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
	l.prefix = strings.TrimSpace(printable(string(text[:start])))
	return l, true
}

// printable replaces control characters, so that a foreign line cannot change the
// terminal.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

func showStory(w io.Writer, e *explained, about, others []logLine) {
	if !e.Found {
		line(w, "no line names the request %s (%d lines are no log lines)", printable(e.RequestID), e.Skipped)
		return
	}
	for _, l := range about {
		line(w, "%s %s %s: %s", l.Time.Format(time.RFC3339), l.prefix, l.Name, l.Text)
		if l.Outcome == "" {
			continue
		}
		line(w, "  service %s, route %s, settings version %d", l.Service, l.Route, l.Version)
		line(w, "  outcome %s, run %s, status %d, reason %s", l.Outcome, l.Run, l.Status, cmp.Or(l.Reason, "-"))
		line(w, "  took %.1f ms of %.1f ms", l.Duration, l.Deadline)
		for i, a := range l.Attempts {
			line(w, "  attempt %d at %.1f ms to %s in %s: %s after %.1f ms; %s", i+1, millis(a.Offset), a.Backend, a.FailureDomain, a.Result, millis(a.Duration), describeSeen(a.Seen))
		}
	}
	if len(others) > 0 {
		line(w, "about the backend servers that it was sent to:")
	}
	for _, l := range others {
		line(w, "  %s %s %s %s: %s", l.Time.Format(time.RFC3339), l.prefix, l.Address, l.Name, l.Text)
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// describe words what was known of a backend server when it was chosen.
func describeSeen(s audit.Seen) string {
	place := "in another failure domain"
	if s.Near {
		place = "in the own failure domain"
	}
	if !s.Reported {
		return place + ", no load known"
	}
	return fmt.Sprintf("%s, %d running, %d waiting, %d slots, slowdown %.2f, known for %.1f ms", place, s.Running, s.Waiting, s.Slots, s.Slowdown, s.AgeMS)
}
