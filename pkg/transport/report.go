package transport

import (
	"math"
	"strconv"
	"strings"
	"time"

	"lentilpin/pkg/routing"
)

const (
	maxReportBytes = 1024
	reportPrefix   = "TEXT "
	metricPrefix   = "named_metrics."
	maxLatencyMS   = float64(time.Hour / time.Millisecond)
)

// ParseReport parses a load report in the text format of Open Request Cost
// Aggregation (ORCA). Unknown metrics are ignored. It returns false if the
// text is not such a report or is longer than maxReportBytes, a known value is
// negative, not finite or out of range, a known metric is repeated, or the
// requests in flight are missing: a report without them would make the backend
// server look idle.
func ParseReport(text string) (routing.Report, bool) {
	var r routing.Report
	rest, ok := strings.CutPrefix(text, reportPrefix)
	if !ok || len(text) > maxReportBytes {
		return routing.Report{}, false
	}
	var seen [4]bool
	for rest != "" {
		var field string
		field, rest, _ = strings.Cut(rest, ",")
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok {
			return routing.Report{}, false
		}
		name, _ = strings.CutPrefix(name, metricPrefix)
		var index int
		switch name {
		case "inflight":
			r.Inflight, ok = parseCount(value)
		case "queued":
			index = 1
			r.Queued, ok = parseCount(value)
		case "slots":
			index = 2
			r.Slots, ok = parseCount(value)
		case "latency_ms":
			index = 3
			r.Latency, ok = parseMillis(value)
		default:
			continue
		}
		if !ok || seen[index] {
			return routing.Report{}, false
		}
		seen[index] = true
	}
	if !seen[0] {
		return routing.Report{}, false
	}
	return r, true
}

// parseCount accepts "4" and "4.0", because ORCA metrics are floating-point
// numbers.
func parseCount(text string) (int32, bool) {
	if n, err := strconv.ParseInt(text, 10, 32); err == nil {
		return int32(n), n >= 0
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= math.MaxInt32) {
		return 0, false
	}
	return int32(f), true
}

func parseMillis(text string) (time.Duration, bool) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= maxLatencyMS) {
		return 0, false
	}
	return time.Duration(f * float64(time.Millisecond)), true
}

// maxCountFields is the number of fields of the counts format, including the
// optional slowdown.
const maxCountFields = 4

// ParseCounts parses a load report in the counts format: the number of running
// requests, of queued requests and of slots, optionally followed by the
// current service time in percent of the usual one. Further fields are
// ignored. It returns false if a required field is missing, a field is negative
// or not a number, or the text is longer than maxReportBytes.
func ParseCounts(text string) (routing.Report, bool) {
	if len(text) > maxReportBytes {
		return routing.Report{}, false
	}
	var values [maxCountFields]int32
	n := 0
	for field := range strings.SplitSeq(text, ",") {
		if n == maxCountFields {
			break
		}
		v, ok := parseCount(strings.TrimSpace(field))
		if !ok {
			return routing.Report{}, false
		}
		values[n] = v
		n++
	}
	if n < maxCountFields-1 {
		return routing.Report{}, false
	}
	return routing.Report{Inflight: values[0], Queued: values[1], Slots: values[2], Slowdown: float64(values[3]) / 100}, true
}
