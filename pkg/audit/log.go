package audit

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"lentilpin/pkg/events"
)

const (
	minutesKept    = 24 * 60
	maxCountsKept  = 256 // reasons per minute; further ones are counted as ReasonOther
	searchStep     = 256 // records that Find compares per hold of the mutex
	maxFieldLength = 512 // bytes of a value in the trail
	secondsPerMin  = 60
)

// ReasonOther counts refusals in a minute that has more different reasons than
// are kept apart.
const ReasonOther = "other"

type minute struct {
	number int64 // minutes since 1970
	counts []ReasonCount
}

// Log holds the records of one entry.
type Log struct {
	mu       sync.Mutex
	records  []Record
	taken    uint64 // records so far; the next goes to taken modulo the length
	outcomes [8]uint64
	minutes  [minutesKept]minute
	forgot   uint64 // refusals in minutes that were overwritten

	trailMu sync.Mutex
	trail   []Change
	changes uint64
}

// New returns a log of up to maxRequests request records and maxChanges entries
// of the audit trail, at least one of each.
func New(maxRequests, maxChanges int) *Log {
	return &Log{records: make([]Record, max(1, maxRequests)), trail: make([]Change, max(1, maxChanges))}
}

// Request takes the record of one ended request.
func (l *Log) Request(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[l.taken%uint64(len(l.records))] = r
	l.taken++
	if i := slices.Index(Outcomes, r.Outcome); i >= 0 {
		l.outcomes[i]++
	}
	// A replay has a reason as well, but it was answered.
	if r.Reason != "" && r.Outcome != Answered {
		l.refuse(&r)
	}
}

func (l *Log) refuse(r *Record) {
	number := r.Start.Add(r.Duration).Unix() / secondsPerMin
	m := &l.minutes[number%minutesKept]
	if m.number != number {
		for _, c := range m.counts {
			l.forgot += c.Count
		}
		m.number, m.counts = number, m.counts[:0]
	}
	key := ReasonCount{Service: r.Service, Reason: r.Reason, Run: r.Run}
	for i := range m.counts {
		if c := &m.counts[i]; c.Service == key.Service && c.Reason == key.Reason && c.Run == key.Run {
			c.Count++
			return
		}
	}
	if len(m.counts) >= maxCountsKept {
		// The last entry takes what does not fit; its former count stays in it.
		last := &m.counts[maxCountsKept-1]
		*last = ReasonCount{Reason: ReasonOther, Run: Unknown, Count: last.Count + 1}
		return
	}
	key.Count = 1
	m.counts = append(m.counts, key)
}

// Find returns the record of a request, and false if there is none (any more).
func (l *Log) Find(id string) (Record, bool) {
	l.mu.Lock()
	next := l.taken
	l.mu.Unlock()
	for more := true; more; {
		l.mu.Lock()
		size := uint64(len(l.records))
		oldest := l.taken - min(l.taken, size)
		for range searchStep {
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

// Refusals counts the refusals since a time, in whole minutes and for at most a
// day.
func (l *Log) Refusals(since time.Time) Refusals {
	first := since.Unix() / secondsPerMin
	sums := map[ReasonCount]uint64{}
	l.mu.Lock()
	for i := range l.minutes {
		if m := &l.minutes[i]; m.number >= first {
			for _, c := range m.counts {
				n := c.Count
				c.Count = 0
				sums[c] += n
			}
		}
	}
	l.mu.Unlock()
	out := Refusals{From: time.Unix(first*secondsPerMin, 0).UTC(), Counts: make([]ReasonCount, 0, len(sums))}
	for c, n := range sums {
		c.Count = n
		out.Counts = append(out.Counts, c)
	}
	slices.SortFunc(out.Counts, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Run, b.Run))
	})
	return out
}

// Record implements events.Recorder for changes; it ignores other events.
func (l *Log) Record(e *events.Event, fields ...events.Field) {
	if !e.Change {
		return
	}
	c := Change{Time: time.Now().UTC(), Event: e.Number, Name: e.Name, Text: e.Text, Fields: make([]Field, len(fields))}
	for i, f := range fields {
		c.Fields[i] = Field{Name: f.Name, Value: shorten(fmt.Sprint(f.Value))}
	}
	l.trailMu.Lock()
	defer l.trailMu.Unlock()
	slot := &l.trail[l.changes%uint64(len(l.trail))]
	l.changes++
	c.Sequence = l.changes
	*slot = c
}

func shorten(text string) string {
	if len(text) > maxFieldLength {
		return text[:maxFieldLength] + "..."
	}
	return text
}

// Changes returns up to limit changes with a sequence number above after, the
// oldest first.
func (l *Log) Changes(after uint64, limit int) Changes {
	l.trailMu.Lock()
	defer l.trailMu.Unlock()
	size := uint64(len(l.trail))
	oldest := l.changes - min(l.changes, size)
	out := Changes{Changes: []Change{}, Last: l.changes}
	if after < oldest {
		out.Missed = oldest - after
	}
	for n := max(after, oldest); n < l.changes && len(out.Changes) < limit; n++ {
		out.Changes = append(out.Changes, l.trail[n%size])
	}
	return out
}

// Dropped says what the log has taken and what has fallen off.
func (l *Log) Dropped() Counts {
	c := Counts{RequestsByResult: map[Outcome]uint64{}}
	l.mu.Lock()
	size := uint64(len(l.records))
	c.Requests = l.taken
	c.RequestsEvicted = l.taken - min(l.taken, size)
	if l.taken > 0 {
		c.OldestRequest = l.records[c.RequestsEvicted%size].Start
	}
	c.RefusalsEvicted = l.forgot
	for i, o := range Outcomes {
		c.RequestsByResult[o] = l.outcomes[i]
	}
	l.mu.Unlock()
	l.trailMu.Lock()
	defer l.trailMu.Unlock()
	c.Changes = l.changes
	c.ChangesEvicted = l.changes - min(l.changes, uint64(len(l.trail)))
	return c
}
