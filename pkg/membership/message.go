package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/peer/peerpb"
)

// Sizes of exchange messages in bytes.
const (
	maxExchangeBytes     = 64<<10 - 1024 // the size limit of the call less its framing
	compactMessageBytes  = 1024          // of a notification or a confirmation call; the header and the own record take about 200
	elementOverheadBytes = 4             // tag and length of one repeated element
	// minNewPeerReplyBytes is the minimum allowance for a reply to an unknown
	// instance, regardless of the budget. When a large fleet starts, all
	// instances call the few seed peers at once; without some records in the
	// reply, an instance would know no other peers and call only the seeds.
	minNewPeerReplyBytes = 4 * typicalRecordBytes
)

// PeerState provides the gateway state that is shared with other entries and
// receives theirs. Ages are relative to the time of the call. Its methods must
// not call any method of Table except NotifyPeers.
type PeerState interface {
	Drains() []*peerpb.DrainMark
	Quarantines() []*peerpb.Quarantine
	// CrashEvidence returns what is known of requests that crash backend servers.
	CrashEvidence() []*peerpb.CrashEvidence
	// Merge merges the state that a peer sent. Ages do not include the
	// transmission time of the message.
	Merge(SharedState)
}

// cursors holds the rotation position of each kind of element.
type cursors struct{ drains, quarantines, evidence, members int }

// takeRotating returns consecutive elements, starting at position and wrapping
// around, up to the first one that exceeds the allowance in bytes. It advances
// position and reduces the allowance.
func takeRotating[M proto.Message](items []M, position, allowance *int) []M {
	if len(items) == 0 {
		return nil
	}
	start := *position % len(items)
	var out []M
	for i := range items {
		m := items[(start+i)%len(items)]
		size := proto.Size(m) + elementOverheadBytes
		if size > *allowance {
			break
		}
		*allowance -= size
		out = append(out, m)
	}
	*position = start + len(out)
	return out
}

// takeRotatingShare is takeRotating limited to the allowance divided by
// divisor.
func takeRotatingShare[M proto.Message](items []M, position, allowance *int, divisor int) []M {
	portion := *allowance / divisor
	unused := portion
	out := takeRotating(items, position, &unused)
	*allowance -= portion - unused
	return out
}

// SharedState is the state of the gateway in one message.
type SharedState struct {
	Drains      []*peerpb.DrainMark
	Quarantines []*peerpb.Quarantine
	Evidence    []*peerpb.CrashEvidence
}

// isEmpty reports whether a message has nothing to merge.
func (s *SharedState) isEmpty() bool {
	return len(s.Drains)+len(s.Quarantines)+len(s.Evidence) == 0
}

// readSharedState returns the state for one message. It must be called before the table is
// locked.
func (t *Table) readSharedState() SharedState {
	if t.options.PeerState == nil {
		return SharedState{}
	}
	return SharedState{
		Drains: t.options.PeerState.Drains(), Quarantines: t.options.PeerState.Quarantines(),
		Evidence: t.options.PeerState.CrashEvidence(),
	}
}

// composeMessage builds a message within the budget. Drain marks, quarantined
// fingerprints and evidence of crashes precede the records of members, because they keep
// requests away from backend servers. The caller holds the lock.
func (t *Table) composeMessage(now time.Duration, shared SharedState, compact, newPeer bool) *peerpb.ExchangeRequest {
	own := t.ownRecord()
	m := &peerpb.ExchangeRequest{Header: t.header(), Members: []*peerpb.Member{own}}
	baseSize := proto.Size(m)
	allowance := t.sendBudget.allowance(now, compact) - baseSize
	if newPeer {
		allowance = max(allowance, minNewPeerReplyBytes)
	}
	switch {
	case allowance <= 0:
	case compact:
		allowance = min(allowance, compactMessageBytes-baseSize)
		m.Drains = takeRotatingShare(shared.Drains, &t.cursor.drains, &allowance, 2)
		m.Quarantines = takeRotatingShare(shared.Quarantines, &t.cursor.quarantines, &allowance, 2)
		m.CrashEvidence = takeRotating(shared.Evidence, &t.cursor.evidence, &allowance)
	default:
		m.Drains = takeRotatingShare(shared.Drains, &t.cursor.drains, &allowance, 4)
		m.Quarantines = takeRotatingShare(shared.Quarantines, &t.cursor.quarantines, &allowance, 4)
		m.CrashEvidence = takeRotatingShare(shared.Evidence, &t.cursor.evidence, &allowance, 4)
		m.Members = append(m.Members, t.takeChangedMembers(now, &allowance)...)
		m.Members = append(m.Members, t.takeRotatingMembers(now, &allowance)...)
	}
	size := proto.Size(m)
	t.sendBudget.spend(size)
	t.stats.BytesSent += uint64(size)
	return m
}

// takeChangedMembers returns records whose phase or successor changed, and
// those of new incarnations, for their first maxPrioritySends messages.
func (t *Table) takeChangedMembers(now time.Duration, allowance *int) []*peerpb.Member {
	var out []*peerpb.Member
	for _, r := range t.sortedRecords {
		size := proto.Size(r.member) + elementOverheadBytes
		if r.prioritySends == 0 || !t.isSendable(now, r) || size > *allowance {
			continue
		}
		r.prioritySends--
		*allowance -= size
		out = append(out, r.member)
	}
	return out
}

// takeRotatingMembers returns the next records of the rotation.
func (t *Table) takeRotatingMembers(now time.Duration, allowance *int) []*peerpb.Member {
	var items []*peerpb.Member
	for _, r := range t.sortedRecords {
		if r.prioritySends == 0 && t.isSendable(now, r) {
			items = append(items, r.member)
		}
	}
	return takeRotating(items, &t.cursor.members, allowance)
}

// sendBudget is a token bucket that bounds the bytes per second that this
// instance sends. A message always contains its header and the own record,
// which may overdraw the budget; later messages then contain nothing else.
type sendBudget struct {
	rate       float64
	tokens     float64
	lastRefill time.Duration
}

// allowance returns the maximum size of the next message in bytes. Half a
// second of the budget is reserved for compact messages, which carry urgent
// changes, so that the rotation of other elements does not delay them.
func (b *sendBudget) allowance(now time.Duration, compact bool) int {
	b.tokens = min(b.rate, b.tokens+(now-b.lastRefill).Seconds()*b.rate)
	b.lastRefill = now
	if compact {
		return min(maxExchangeBytes, int(b.tokens))
	}
	// Per round, an instance sends about one request and one response; each gets
	// half.
	return min(maxExchangeBytes, int((b.tokens-b.rate/2)/2))
}

func (b *sendBudget) spend(size int) { b.tokens = max(-b.rate, b.tokens-float64(size)) }
