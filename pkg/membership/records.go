package membership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
)

// Lifetimes, sizes and limits of records.
const (
	minForgetDelay     = 30 * time.Second // minimum time without a counter increase before a record is forgotten
	recordRetention    = 15 * time.Minute // of forgotten records and of those with a successor; longer than the default lifetime of keys
	maxMembers         = 20_000
	typicalRecordBytes = 120 // typical size of a record in an exchange, with names of 12 letters
	maxPrioritySends   = 6   // messages in which a new or changed record precedes the rotation
)

// record holds the latest known state of one incarnation.
type record struct {
	member             *peerpb.Member
	counterIncreasedAt time.Duration // on the monotonic clock of this instance
	prioritySends      int           // remaining messages in which the record precedes the rotation
	forgotten          bool
	addressReused      bool // another incarnation replied at this address
}

// mergeMembers merges records received from a peer. It ignores the record of
// this incarnation and records without incarnation, instance or address.
func (t *Table) mergeMembers(now time.Duration, members []*peerpb.Member) {
	for _, m := range members {
		if m.GetIncarnation() == 0 || m.GetInstance() == "" || m.GetAddress() == "" || m.Incarnation == t.self.Incarnation {
			continue
		}
		r := t.records[m.Incarnation]
		switch {
		case r == nil:
			t.addRecord(now, m)
		case m.Counter > r.member.Counter:
			if r.forgotten || m.Phase != r.member.Phase || m.Successor != r.member.Successor {
				r.prioritySends = maxPrioritySends
			}
			r.member, r.counterIncreasedAt, r.forgotten = m, now, r.addressReused
		}
	}
	t.updateOrdinalConflict()
}

// addRecord adds the record of a new incarnation. A full table ignores it.
func (t *Table) addRecord(now time.Duration, m *peerpb.Member) {
	if len(t.records) >= maxMembers {
		if !t.tableFull {
			t.tableFull = true
			t.options.Recorder.Record(eventTableFull, events.F("members", len(t.records)))
		}
		return
	}
	r := &record{member: m, counterIncreasedAt: now, prioritySends: maxPrioritySends}
	t.records[m.Incarnation] = r
	index, _ := slices.BinarySearchFunc(t.sortedRecords, r, compareRecords)
	t.sortedRecords = slices.Insert(t.sortedRecords, index, r)
	for _, other := range t.records {
		if other == r || other.member.Instance != m.Instance {
			continue
		}
		// A later start of the same instance replaces an earlier one.
		if other.member.StartedUnixMs < m.StartedUnixMs {
			t.forgetRecord(other)
		} else if other.member.StartedUnixMs > m.StartedUnixMs {
			t.forgetRecord(r)
		}
	}
	if !r.forgotten {
		t.options.Recorder.Record(eventJoined, events.F("instance", m.Instance), events.F("address", m.Address),
			events.F("failure_domain", m.FailureDomain))
	}
}

// forgetRecord marks the record as forgotten.
func (t *Table) forgetRecord(r *record) {
	if !r.forgotten {
		r.forgotten = true
		t.options.Recorder.Record(eventForgotten, events.F("instance", r.member.Instance), events.F("address", r.member.Address))
	}
}

// forgetOtherIncarnations forgets all other incarnations at the address at which
// the given incarnation replied, because they have terminated.
func (t *Table) forgetOtherIncarnations(address string, incarnation uint64) {
	for _, r := range t.records {
		if r.member.Address == address && r.member.Incarnation != incarnation {
			r.addressReused = true
			t.forgetRecord(r)
		}
	}
}

// pruneRecords forgets records whose counter has not risen for forgetDelay and
// deletes them after recordRetention.
func (t *Table) pruneRecords(now time.Duration) {
	delay := t.forgetDelay()
	for id, r := range t.records {
		age := now - r.counterIncreasedAt
		if age > delay {
			t.forgetRecord(r)
		}
		if age > recordRetention {
			delete(t.records, id)
			t.sortedRecords = slices.DeleteFunc(t.sortedRecords, func(o *record) bool { return o == r })
		}
	}
	t.tableFull = t.tableFull && len(t.records) >= maxMembers
	t.updateOrdinalConflict()
}

// forgetDelay returns how long a counter may stand still before the record is
// forgotten. It grows with the table, because the budget bounds how often a
// record is sent, and a counter needs a logarithmic number of steps to reach all
// instances.
func (t *Table) forgetDelay() time.Duration {
	instances := float64(len(t.records) + 1)
	rotationSeconds := instances * typicalRecordBytes / t.options.BytesPerSecond
	return max(minForgetDelay, time.Duration(1.5*rotationSeconds*(math.Log(instances)+6)*float64(time.Second)))
}

// isLive reports whether the incarnation takes part in exchanges: it is not
// forgotten and has not left.
func (r *record) isLive() bool {
	return !r.forgotten && r.member.Phase != peerpb.Phase_PHASE_LEFT
}

// isSendable reports whether the record may be sent. A record whose counter has
// stopped rising is not sent in the second half of its lifetime, so that
// instances do not keep passing it to each other.
func (t *Table) isSendable(now time.Duration, r *record) bool {
	if r.member.Successor != "" {
		return now-r.counterIncreasedAt < recordRetention/2
	}
	return !r.forgotten && now-r.counterIncreasedAt < t.forgetDelay()/2
}

// compareRecords orders records by incarnation, so that rotation and random
// choices do not depend on the order of a map.
func compareRecords(a, b *record) int {
	return cmp.Compare(a.member.Incarnation, b.member.Incarnation)
}

// LiveInstances returns the number of instances that take part in exchanges,
// including this one.
func (t *Table) LiveInstances() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, r := range t.records {
		if r.isLive() {
			n++
		}
	}
	return n
}

// Members returns copies of the own record and of all records that are not
// forgotten, sorted by instance name. Instances that left are included until
// they are forgotten.
func (t *Table) Members() []*peerpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []*peerpb.Member{t.ownRecord()}
	for _, r := range t.sortedRecords {
		if !r.forgotten {
			out = append(out, proto.CloneOf(r.member))
		}
	}
	slices.SortStableFunc(out, func(a, b *peerpb.Member) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// maxSuccessorHops bounds the length of the chain of successors.
const maxSuccessorHops = 16

// Successor returns the peer address of the entry that now holds the ledger of
// an incarnation, "" if none is known. It follows the chain of successors,
// because a successor may have handed the ledger over in turn. The first
// parameter, the address of the incarnation, is ignored, because the incarnation
// is unique. An entry that does not hold the ledger refuses the claim, so a wrong
// chain only leads to an unknown result.
func (t *Table) Successor(_ string, incarnation uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[incarnation]
	for range maxSuccessorHops {
		if r == nil {
			return ""
		}
		next := t.nextHandover(r)
		if next == nil {
			return r.member.Successor
		}
		r = next
	}
	return r.member.Successor
}

// nextHandover returns the record of r's successor if that entry has handed over
// in turn, later than r did, and nil otherwise.
func (t *Table) nextHandover(r *record) *record {
	if r.member.Successor == "" {
		return nil
	}
	for _, next := range t.sortedRecords {
		if next != r && next.member.Address == r.member.Successor && next.member.Successor != "" && next.counterIncreasedAt >= r.counterIncreasedAt {
			return next
		}
	}
	return nil
}

// OrdinalConflict reports whether another live instance has the same ordinal.
func (t *Table) OrdinalConflict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ordinalConflict
}

// updateOrdinalConflict recomputes ordinalConflict and records every change.
func (t *Table) updateOrdinalConflict() {
	other := ""
	for _, r := range t.records {
		if r.isLive() && r.member.Ordinal == t.self.Ordinal && (other == "" || r.member.Instance < other) {
			other = r.member.Instance
		}
	}
	if (other != "") == t.ordinalConflict {
		return
	}
	t.ordinalConflict = other != ""
	if t.ordinalConflict {
		t.options.Recorder.Record(eventOrdinalConflict, events.F("ordinal", t.self.Ordinal), events.F("other", other))
		return
	}
	t.options.Recorder.Record(eventOrdinalUnique, events.F("ordinal", t.self.Ordinal))
}
