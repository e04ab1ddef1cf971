package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lentilpin/pkg/events"
)

const (
	retainedMinutes    = 24 * 60
	maxCountsPerMinute = 256 // combinations of service, reason and run; more are counted as ReasonOther
	searchBatchSize    = 256 // records that FindRequest compares each time it holds the mutex
	maxFieldBytes      = 512 // longer values are truncated in the audit trail
	maxNameBytes       = 128 // longer names are truncated in request records
	secondsPerMinute   = 60
)

// ReasonOther is the reason under which refusals are counted that exceed the
// number of separate counts per minute.
const ReasonOther = "other"

// refusalBucket holds the refusal counts of one minute.
type refusalBucket struct {
	minute int64 // minutes since the Unix epoch
	counts []RefusalCount
}

// Log holds the request records, refusal counts and audit trail of one entry.
// Its methods are safe for concurrent use.
type Log struct {
	mu              sync.Mutex
	records         []Record
	recordCount     uint64 // records added so far; the next one goes to this index modulo len(records)
	handedOnCount   uint64 // records of requests that peers have handed on
	outcomeCounts   [8]uint64
	refusalBuckets  [retainedMinutes]refusalBucket
	evictedRefusals uint64 // refusals in overwritten buckets

	trailMu     sync.Mutex
	trail       []Change
	changeCount uint64
}

// New returns a log that holds up to maxRequests request records and maxChanges
// changes. Values below 1 are raised to 1.
func New(maxRequests, maxChanges int) *Log {
	return &Log{records: make([]Record, max(1, maxRequests)), trail: make([]Change, max(1, maxChanges))}
}

// AddRequest adds the record of a completed request. It copies the names that a caller can
// choose, so that the record keeps nothing else of the request in memory.
func (l *Log) AddRequest(r Record) {
	r.RequestID, r.Service, r.Method = copyName(r.RequestID), copyName(r.Service), copyName(r.Method)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[l.recordCount%uint64(len(l.records))] = r
	l.recordCount++
	if r.HandedOn {
		l.handedOnCount++
		return
	}
	if i := slices.Index(Outcomes, r.Outcome); i >= 0 {
		l.outcomeCounts[i]++
	}
	// A replayed response has a reason too, but is not a refusal.
	if r.Reason != "" && r.Outcome != OutcomeAnswered {
		l.countRefusal(&r)
	}
}

// copyName returns a copy of the first maxNameBytes of a name. Strings that net/http returns
// are often parts of a long one, such as the request line.
func copyName(name string) string {
	return strings.Clone(name[:min(len(name), maxNameBytes)])
}

// countRefusal counts a refusal in the bucket of the minute in which the request
// ended. The caller holds mu.
func (l *Log) countRefusal(r *Record) {
	minute := r.Start.Add(r.Duration).Unix() / secondsPerMinute
	bucket := &l.refusalBuckets[minute%retainedMinutes]
	if bucket.minute != minute {
		for _, c := range bucket.counts {
			l.evictedRefusals += c.Count
		}
		bucket.minute, bucket.counts = minute, bucket.counts[:0]
	}
	key := RefusalCount{Service: r.Service, Reason: r.Reason, Run: r.Run}
	for i := range bucket.counts {
		if c := &bucket.counts[i]; c.Service == key.Service && c.Reason == key.Reason && c.Run == key.Run {
			c.Count++
			return
		}
	}
	if len(bucket.counts) >= maxCountsPerMinute {
		// The last count becomes ReasonOther and keeps its number of refusals.
		last := &bucket.counts[maxCountsPerMinute-1]
		*last = RefusalCount{Reason: ReasonOther, Run: Unknown, Count: last.Count + 1}
		return
	}
	key.Count = 1
	bucket.counts = append(bucket.counts, key)
}

// FindRequest returns the newest record with a request ID, and false if there
// is none or it has been evicted.
func (l *Log) FindRequest(id string) (Record, bool) {
	l.mu.Lock()
	next := l.recordCount
	l.mu.Unlock()
	for more := true; more; {
		l.mu.Lock()
		size := uint64(len(l.records))
		oldest := l.recordCount - min(l.recordCount, size)
		for range searchBatchSize {
			if next <= oldest {
				more = false
				break
			}
			next--
			if r := &l.records[next%size]; r.RequestID == id {
				found := *r
				l.mu.Unlock()
				return found, true
			}
		}
		l.mu.Unlock()
	}
	return Record{}, false
}

// Refusals returns the refusals since a time, rounded down to a whole minute.
// Counts are retained for one day.
func (l *Log) Refusals(since time.Time) Refusals {
	firstMinute := since.Unix() / secondsPerMinute
	sums := map[RefusalCount]uint64{}
	l.mu.Lock()
	for i := range l.refusalBuckets {
		if bucket := &l.refusalBuckets[i]; bucket.minute >= firstMinute {
			for _, c := range bucket.counts {
				n := c.Count
				c.Count = 0
				sums[c] += n
			}
		}
	}
	l.mu.Unlock()
	out := Refusals{From: time.Unix(firstMinute*secondsPerMinute, 0).UTC(), Counts: make([]RefusalCount, 0, len(sums))}
	for c, n := range sums {
		c.Count = n
		out.Counts = append(out.Counts, c)
	}
	slices.SortFunc(out.Counts, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	return out
}

// Record implements events.Recorder. It adds changes to the audit trail and
// ignores other events.
func (l *Log) Record(e *events.Event, fields ...events.Field) {
	if !e.Change {
		return
	}
	c := Change{Time: time.Now().UTC(), Event: e.Number, Name: e.Name, Text: e.Text, Fields: make([]Field, len(fields))}
	for i, f := range fields {
		c.Fields[i] = Field{Name: f.Name, Value: truncateField(fmt.Sprint(f.Value))}
	}
	l.trailMu.Lock()
	defer l.trailMu.Unlock()
	slot := &l.trail[l.changeCount%uint64(len(l.trail))]
	l.changeCount++
	c.Sequence = l.changeCount
	*slot = c
}

func truncateField(text string) string {
	if len(text) > maxFieldBytes {
		return text[:maxFieldBytes] + "..."
	}
	return text
}

// Changes returns up to limit changes with sequence numbers greater than after,
// oldest first.
func (l *Log) Changes(after uint64, limit int) Changes {
	l.trailMu.Lock()
	defer l.trailMu.Unlock()
	size := uint64(len(l.trail))
	oldest := l.changeCount - min(l.changeCount, size)
	out := Changes{Changes: []Change{}, Last: l.changeCount}
	if after < oldest {
		out.Missed = oldest - after
	}
	for n := max(after, oldest); n < l.changeCount && len(out.Changes) < limit; n++ {
		out.Changes = append(out.Changes, l.trail[n%size])
	}
	return out
}

// Totals returns how many requests, changes and refusals were recorded and how
// many of them were evicted.
func (l *Log) Totals() Counts {
	c := Counts{RequestsByResult: map[Outcome]uint64{}}
	l.mu.Lock()
	size := uint64(len(l.records))
	c.Requests = l.recordCount - l.handedOnCount
	c.HandedOn = l.handedOnCount
	c.RequestsEvicted = l.recordCount - min(l.recordCount, size)
	if l.recordCount > 0 {
		c.OldestRequest = l.records[c.RequestsEvicted%size].Start
	}
	c.RefusalsEvicted = l.evictedRefusals
	for i, o := range Outcomes {
		c.RequestsByResult[o] = l.outcomeCounts[i]
	}
	l.mu.Unlock()
	l.trailMu.Lock()
	defer l.trailMu.Unlock()
	c.Changes = l.changeCount
	c.ChangesEvicted = l.changeCount - min(l.changeCount, uint64(len(l.trail)))
	return c
}
