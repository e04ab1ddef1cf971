package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatency  = time.Microsecond
	highestLatency = 2 * time.Minute
	latencyDigits  = 3
)

// Latency are percentiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

// Class counts the requests of one kind.
type Class struct {
	Sent     int64            `json:"sent"`
	Answered int64            `json:"answered"`
	Replayed int64            `json:"replayed"`
	Ran      int64            `json:"ran"`
	NotRun   int64            `json:"notRun"`
	Unknown  int64            `json:"unknown"`
	Foreign  int64            `json:"foreign"` // whole bodies of another request
	Damaged  int64            `json:"damaged"` // bodies that passed for whole and are not
	Reasons  map[string]int64 `json:"reasons"`
	Latency  Latency          `json:"latency"` // of answered requests, from the scheduled time
}

// Added is the latency of reads through an entry less that of direct reads.
type Added struct {
	P50 float64 `json:"p50Ms"`
	P99 float64 `json:"p99Ms"`
}

// Result is the outcome of a run.
type Result struct {
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate"`
	DurationMS int64         `json:"durationMs"`
	Scheduled  int64         `json:"scheduled"`
	NotSent    int64         `json:"notSent"` // too many in flight already
	NoKey      int64         `json:"noKey"`   // orders that were not sent for lack of a key
	Reads      Class         `json:"reads"`
	Orders     Class         `json:"orders"`
	Resends    Class         `json:"resends"`
	Direct     Class         `json:"direct"`
	Late       Latency       `json:"late"` // from the scheduled to the actual time of sending
	Added      *Added        `json:"added,omitempty"`
	Verified   *Verification `json:"verified,omitempty"`

	told map[string][]Outcome // what callers were told about each order
}

// Broken reports whether a promise of the system was broken.
func (r *Result) Broken() bool {
	for _, c := range []*Class{&r.Reads, &r.Orders, &r.Resends} {
		if c.Foreign+c.Damaged > 0 {
			return true
		}
	}
	return r.Verified != nil && r.Verified.Repeated+r.Verified.NotRunButRan+r.Verified.AnsweredButNotRun > 0
}

// tally collects one class.
type tally struct {
	mu        sync.Mutex
	class     Class
	histogram *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{class: Class{Reasons: map[string]int64{}}, histogram: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(lowestLatency), int64(highestLatency), latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, lowestLatency), highestLatency))) // within the bounds of newHistogram
}

func (t *tally) add(r reply, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.class
	c.Sent++
	switch r.outcome {
	case Answered:
		c.Answered++
		record(t.histogram, latency)
	case Replayed:
		c.Replayed++
	case Ran:
		c.Ran++
	case NotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
	switch r.fault {
	case "foreign":
		c.Foreign++
	case "damaged":
		c.Damaged++
	}
	if r.reason != "" {
		c.Reasons[r.reason]++
	}
}

func (t *tally) result() Class {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.class.Latency = summarize(t.histogram)
	return t.class
}

func summarize(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond) }
	return Latency{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: float64(h.Max()) / float64(time.Millisecond),
	}
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.0f requests/s for %d ms, scheduled %d, not sent %d, orders without a key %d\n",
		r.Seed, r.Rate, r.DurationMS, r.Scheduled, r.NotSent, r.NoKey)
	fmt.Fprintf(w, "%-8s %8s %8s %8s %6s %8s %8s %7s %7s %9s %9s %9s %9s\n", "", "sent", "answered", "replayed", "ran",
		"not_run", "unknown", "foreign", "damaged", "p50_ms", "p99_ms", "p999_ms", "max_ms")
	for _, row := range []struct {
		name string
		c    *Class
	}{{"reads", &r.Reads}, {"orders", &r.Orders}, {"resends", &r.Resends}, {"direct", &r.Direct}} {
		c, l := row.c, row.c.Latency
		fmt.Fprintf(w, "%-8s %8d %8d %8d %6d %8d %8d %7d %7d %9.3f %9.3f %9.3f %9.3f\n", row.name, c.Sent, c.Answered, c.Replayed,
			c.Ran, c.NotRun, c.Unknown, c.Foreign, c.Damaged, l.P50, l.P99, l.P999, l.Max)
	}
	for _, row := range []struct {
		name string
		c    *Class
	}{{"reads", &r.Reads}, {"orders", &r.Orders}, {"resends", &r.Resends}, {"direct", &r.Direct}} {
		reasons := slices.SortedFunc(maps.Keys(row.c.Reasons), func(a, b string) int {
			return cmp.Or(cmp.Compare(row.c.Reasons[b], row.c.Reasons[a]), cmp.Compare(a, b))
		})
		for _, reason := range reasons {
			fmt.Fprintf(w, "%-8s %8d %s\n", row.name, row.c.Reasons[reason], reason)
		}
	}
	fmt.Fprintf(w, "sent late p50 %.3f ms, p99 %.3f ms\n", r.Late.P50, r.Late.P99)
	if r.Added != nil {
		fmt.Fprintf(w, "added latency of reads: p50 %.3f ms, p99 %.3f ms\n", r.Added.P50, r.Added.P99)
	}
	if v := r.Verified; v != nil {
		fmt.Fprintf(w, "orders at the backend servers: %d ran, %d of them more than once, %d called not_run, %d called answered or ran that did not run\n",
			v.Ran, v.Repeated, v.NotRunButRan, v.AnsweredButNotRun)
	}
}
