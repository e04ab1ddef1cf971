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

// Times and bounds of the records.
const (
	minForget     = 30 * time.Second // without a higher counter
	retain        = 15 * time.Minute // of a forgotten record, and of a successor; above the lifetime of keys
	maxMembers    = 20_000
	recordBytes   = 120 // typical size of a record in an exchange, measured with names of 12 letters
	freshMessages = 6   // times a changed record is sent ahead of the others
)

// record is what this instance knows about one incarnation.
type record struct {
	member    *peerpb.Member
	heard     time.Duration // when the counter last rose, on the own clock
	fresh     int           // messages that still carry it ahead of others
	forgotten bool
	ended     bool // another incarnation replied at its address
}

// merge takes records from a peer.
func (t *Table) merge(now time.Duration, members []*peerpb.Member) {
	for _, m := range members {
		if m.GetIncarnation() == 0 || m.GetInstance() == "" || m.GetAddress() == "" || m.Incarnation == t.self.Incarnation {
			continue
		}
		r := t.records[m.Incarnation]
		switch {
		case r == nil:
			t.add(now, m)
		case m.Counter > r.member.Counter:
			if r.forgotten || m.Phase != r.member.Phase || m.Successor != r.member.Successor {
				r.fresh = freshMessages
			}
			r.member, r.heard, r.forgotten = m, now, r.ended
		}
	}
	t.checkOrdinal()
}

func (t *Table) add(now time.Duration, m *peerpb.Member) {
	if len(t.records) >= maxMembers {
		if !t.full {
			t.full = true
			t.o.Recorder.Record(eventTableFull, events.F("members", len(t.records)))
		}
		return
	}
	r := &record{member: m, heard: now, fresh: freshMessages}
	t.records[m.Incarnation] = r
	at, _ := slices.BinarySearchFunc(t.order, r, compareRecords)
	t.order = slices.Insert(t.order, at, r)
	for _, other := range t.records {
		if other == r || other.member.Instance != m.Instance {
			continue
		}
		// The later start of the same instance replaces the earlier one.
		if other.member.StartedUnixMs < m.StartedUnixMs {
			t.forget(other)
		} else if other.member.StartedUnixMs > m.StartedUnixMs {
			t.forget(r)
		}
	}
	if !r.forgotten {
		t.o.Recorder.Record(eventJoined, events.F("instance", m.Instance), events.F("address", m.Address),
			events.F("failure_domain", m.FailureDomain))
	}
}

func (t *Table) forget(r *record) {
	if !r.forgotten {
		r.forgotten = true
		t.o.Recorder.Record(eventForgotten, events.F("instance", r.member.Instance), events.F("address", r.member.Address))
	}
}

// met notes that the incarnation replied at the address: any other incarnation
// at that address has ended.
func (t *Table) met(address string, incarnation uint64) {
	for _, r := range t.records {
		if r.member.Address == address && r.member.Incarnation != incarnation {
			r.ended = true
			t.forget(r)
		}
	}
}

// prune forgets records that were not heard of for long.
func (t *Table) prune(now time.Duration) {
	limit := t.forgetAfter()
	for id, r := range t.records {
		age := now - r.heard
		if age > limit {
			t.forget(r)
		}
		if age > retain {
			delete(t.records, id)
			t.order = slices.DeleteFunc(t.order, func(o *record) bool { return o == r })
		}
	}
	t.full = t.full && len(t.records) >= maxMembers
	t.checkOrdinal()
}

// forgetAfter grows with the table: the budget bounds how often a record is
// sent, and a counter needs a logarithmic number of steps to reach everyone.
func (t *Table) forgetAfter() time.Duration {
	n := float64(len(t.records) + 1)
	rotation := n * recordBytes / t.o.BytesPerSecond
	return max(minForget, time.Duration(1.5*rotation*(math.Log(n)+6)*float64(time.Second)))
}

// live reports whether an instance takes part in exchanges.
func (r *record) live() bool {
	return !r.forgotten && r.member.Phase != peerpb.Phase_PHASE_LEFT
}

// sendable reports whether the record is worth sending. A record that stands
// still is not sent for the second half of its time, so that it is not handed
// in a circle.
func (t *Table) sendable(now time.Duration, r *record) bool {
	if r.member.Successor != "" {
		return now-r.heard < retain/2
	}
	return !r.forgotten && now-r.heard < t.forgetAfter()/2
}

// compareRecords orders records by incarnation, so that rotation and random
// choices do not depend on the order of a map.
func compareRecords(a, b *record) int {
	return cmp.Compare(a.member.Incarnation, b.member.Incarnation)
}

// Size returns the number of instances that take part in exchanges, this one
// included.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, r := range t.records {
		if r.live() {
			n++
		}
	}
	return n
}

// Members returns the own record and those of all instances heard of, in the
// order of names. Instances that left are included until they are forgotten.
func (t *Table) Members() []*peerpb.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []*peerpb.Member{t.ownRecord()}
	for _, r := range t.order {
		if !r.forgotten {
			out = append(out, proto.CloneOf(r.member))
		}
	}
	slices.SortStableFunc(out, func(a, b *peerpb.Member) int { return strings.Compare(a.Instance, b.Instance) })
	return out
}

// maxHandovers bounds the chain of successors that is followed.
const maxHandovers = 16

// Successor returns the peer address that holds the ledger of an incarnation
// now, empty if none is known: the successor may have handed it on. The address
// is that of the incarnation itself and is ignored, because an incarnation is
// unique. A wrong holder refuses the claim, so that a chain that leads astray
// costs an unknown result only.
func (t *Table) Successor(_ string, incarnation uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[incarnation]
	for range maxHandovers {
		if r == nil {
			return ""
		}
		next := t.handedOn(r)
		if next == nil {
			return r.member.Successor
		}
		r = next
	}
	return r.member.Successor
}

// handedOn returns the record of r's successor if that has handed over in turn,
// later than r did.
func (t *Table) handedOn(r *record) *record {
	if r.member.Successor == "" {
		return nil
	}
	for _, next := range t.order {
		if next != r && next.member.Address == r.member.Successor && next.member.Successor != "" && next.heard >= r.heard {
			return next
		}
	}
	return nil
}

// OrdinalConflict reports whether another instance that is not known to have
// left has the same ordinal.
func (t *Table) OrdinalConflict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conflict
}

func (t *Table) checkOrdinal() {
	other := ""
	for _, r := range t.records {
		if r.live() && r.member.Ordinal == t.self.Ordinal && (other == "" || r.member.Instance < other) {
			other = r.member.Instance
		}
	}
	if (other != "") == t.conflict {
		return
	}
	t.conflict = other != ""
	if t.conflict {
		t.o.Recorder.Record(eventOrdinalConflict, events.F("ordinal", t.self.Ordinal), events.F("other", other))
		return
	}
	t.o.Recorder.Record(eventOrdinalUnique, events.F("ordinal", t.self.Ordinal))
}
