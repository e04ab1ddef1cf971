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
	minLatency               = time.Microsecond
	maxLatency               = 2 * time.Minute
	latencySignificantDigits = 3
)

// Latency holds latency percentiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P90   float64 `json:"p90Ms"`
	P99   float64 `json:"p99Ms"`
	P999  float64 `json:"p999Ms"`
	Max   float64 `json:"maxMs"`
}

// RequestStats holds the counts and latencies of one kind of request.
type RequestStats struct {
	Sent     int64            `json:"sent"`
	Answered int64            `json:"answered"`
	Replayed int64            `json:"replayed"`
	Ran      int64            `json:"ran"`
	NotRun   int64            `json:"notRun"`
	Unknown  int64            `json:"unknown"`
	Foreign  int64            `json:"foreign"` // intact bodies of another request
	Damaged  int64            `json:"damaged"` // truncated or corrupt bodies of responses that seemed complete
	Reasons  map[string]int64 `json:"reasons"`
	Latency  Latency          `json:"latency"` // of answered requests, from the scheduled time
}

// AddedLatency is the difference between the latency percentiles of reads through
// an entry and of direct reads, in milliseconds.
type AddedLatency struct {
	P50 float64 `json:"p50Ms"`
	P99 float64 `json:"p99Ms"`
}

// Result holds the counts and latencies of a run.
type Result struct {
	Seed         uint64        `json:"seed"`
	Rate         float64       `json:"rate"`
	DurationMS   int64         `json:"durationMs"`
	Scheduled    int64         `json:"scheduled"`
	NotSent      int64         `json:"notSent"` // limit of concurrent requests reached
	NoKey        int64         `json:"noKey"`   // orders not sent because no key was available
	Reads        RequestStats  `json:"reads"`
	Orders       RequestStats  `json:"orders"`
	Resends      RequestStats  `json:"resends"`
	Direct       RequestStats  `json:"direct"`
	SendDelay    Latency       `json:"late"` // from the scheduled to the actual send time
	AddedLatency *AddedLatency `json:"added,omitempty"`
	Verified     *Verification `json:"verified,omitempty"`

	outcomes map[string][]Outcome // what callers were told about each order
}

// HasViolations reports whether a guarantee of the system was violated: a foreign
// or damaged body, an order that ran more than once, or a wrong statement about
// whether an order ran.
func (r *Result) HasViolations() bool {
	for _, c := range []*RequestStats{&r.Reads, &r.Orders, &r.Resends} {
		if c.Foreign+c.Damaged > 0 {
			return true
		}
	}
	return r.Verified != nil && r.Verified.Repeated+r.Verified.NotRunButRan+r.Verified.AnsweredButNotRun > 0
}

// statsCollector collects the counts and latencies of one kind of request.
type statsCollector struct {
	mu        sync.Mutex
	stats     RequestStats
	histogram *hdrhistogram.Histogram
}

func newStatsCollector() *statsCollector {
	return &statsCollector{stats: RequestStats{Reasons: map[string]int64{}}, histogram: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), latencySignificantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(min(max(d, minLatency), maxLatency))) // cannot fail within the range of newHistogram
}

func (c *statsCollector) add(result requestResult, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := &c.stats
	counts.Sent++
	switch result.outcome {
	case Answered:
		counts.Answered++
		recordLatency(c.histogram, latency)
	case Replayed:
		counts.Replayed++
	case Ran:
		counts.Ran++
	case NotRun:
		counts.NotRun++
	default:
		counts.Unknown++
	}
	switch result.bodyError {
	case "foreign":
		counts.Foreign++
	case "damaged":
		counts.Damaged++
	}
	if result.reason != "" {
		counts.Reasons[result.reason]++
	}
}

func (c *statsCollector) result() RequestStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Latency = summarizeLatency(c.histogram)
	return c.stats
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
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
		c    *RequestStats
	}{{"reads", &r.Reads}, {"orders", &r.Orders}, {"resends", &r.Resends}, {"direct", &r.Direct}} {
		c, l := row.c, row.c.Latency
		fmt.Fprintf(w, "%-8s %8d %8d %8d %6d %8d %8d %7d %7d %9.3f %9.3f %9.3f %9.3f\n", row.name, c.Sent, c.Answered, c.Replayed,
			c.Ran, c.NotRun, c.Unknown, c.Foreign, c.Damaged, l.P50, l.P99, l.P999, l.Max)
	}
	for _, row := range []struct {
		name string
		c    *RequestStats
	}{{"reads", &r.Reads}, {"orders", &r.Orders}, {"resends", &r.Resends}, {"direct", &r.Direct}} {
		reasons := slices.SortedFunc(maps.Keys(row.c.Reasons), func(a, b string) int {
			return cmp.Or(cmp.Compare(row.c.Reasons[b], row.c.Reasons[a]), cmp.Compare(a, b))
		})
		for _, reason := range reasons {
			fmt.Fprintf(w, "%-8s %8d %s\n", row.name, row.c.Reasons[reason], reason)
		}
	}
	fmt.Fprintf(w, "sent late p50 %.3f ms, p99 %.3f ms\n", r.SendDelay.P50, r.SendDelay.P99)
	if r.AddedLatency != nil {
		fmt.Fprintf(w, "added latency of reads: p50 %.3f ms, p99 %.3f ms\n", r.AddedLatency.P50, r.AddedLatency.P99)
	}
	if v := r.Verified; v != nil {
		fmt.Fprintf(w, "orders at the backend servers: %d ran, %d of them more than once, %d called not_run, %d called answered or ran that did not run\n",
			v.Ran, v.Repeated, v.NotRunButRan, v.AnsweredButNotRun)
	}
}
