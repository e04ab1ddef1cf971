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

// ParseReport reads the text form of an Open Request Cost Aggregation load
// report. Unknown metrics are ignored. It returns false where the text is not
// such a report, a known value is negative, not finite or out of range, a known
// metric appears twice, or the requests in flight are missing: half a report
// would be taken for an idle backend server.
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

// parseCount accepts "4" and "4.0", since metrics are floating point numbers
// in the format.
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

// countFields is the number of fields of the short form, the slowdown included.
const countFields = 4

// ParseCounts reads the short form of a load report: the numbers of requests
// that run, that wait, and of slots, then optionally the time that work takes
// at this moment in percent of the usual. Further fields are ignored. It returns
// false where a field is missing, negative or no number.
func ParseCounts(text string) (routing.Report, bool) {
	if len(text) > maxReportBytes {
		return routing.Report{}, false
	}
	var values [countFields]int32
	n := 0
	for field := range strings.SplitSeq(text, ",") {
		if n == countFields {
			break
		}
		v, ok := parseCount(strings.TrimSpace(field))
		if !ok {
			return routing.Report{}, false
		}
		values[n] = v
		n++
	}
	if n < countFields-1 {
		return routing.Report{}, false
	}
	return routing.Report{Inflight: values[0], Queued: values[1], Slots: values[2], Slowdown: float64(values[3]) / 100}, true
}
