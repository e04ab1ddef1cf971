package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilpin/pkg/peer/peerpb"
)

// candidate is an instance that may be responsible for a key.
type candidate struct {
	member   *peerpb.Member
	inDomain bool // in the failure domain of the key
	rank     uint64
}

// precedes reports whether c is responsible rather than other. The name decides
// between equal ranks.
func (c candidate) precedes(other candidate) bool {
	if c.inDomain != other.inDomain {
		return c.inDomain
	}
	if c.rank != other.rank {
		return c.rank > other.rank
	}
	return c.member.Instance < other.member.Instance
}

// Responsible returns the peer address of the instance that is responsible for a
// key, and whether that is this instance. It is the first by rendezvous hashing
// among the live instances of a failure domain, or among all if that has none. The
// hash covers the name of an instance, so that a restart changes nothing. address
// is empty if this instance is leaving and knows no other.
func (t *Table) Responsible(key, failureDomain string) (address string, isSelf bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first candidate
	consider := func(m *peerpb.Member) {
		if isLeaving(m) {
			return
		}
		c := candidate{m, m.FailureDomain == failureDomain, xxhash.Sum64String(m.Instance + "\x00" + key)}
		if first.member == nil || c.precedes(first) {
			first = c
		}
	}
	consider(t.self)
	for _, r := range t.sortedRecords {
		// The record of an earlier start of this instance may still be live.
		if r.isLive() && r.member.Instance != t.self.Instance {
			consider(r.member)
		}
	}
	if first.member == nil {
		return "", false
	}
	return first.member.Address, first.member == t.self
}

// liveShareRecovery is how long the live share stays at its lowest value. When a
// partition heals, the members become known one after another, and for some time two
// instances may be responsible for one key.
const liveShareRecovery = 15 * time.Second

// LiveShare returns the share of the known instances that are live, this one
// included. Instances that have left in an orderly way are not known any more; one
// that has vanished is known until its record is deleted, or its address is reused.
// It stops being live before its record is forgotten, so that during a partition the
// share has decreased when Responsible turns to another instance.
func (t *Table) LiveShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.liveShare
}

// updateLiveShare updates the live share: a decrease at once, an increase after
// liveShareRecovery. The caller holds the lock.
func (t *Table) updateLiveShare(now time.Duration) {
	maxAge := max(minForgetDelay/2, t.forgetDelay()/3)
	isLive := map[string]bool{t.self.Instance: true}
	for _, r := range t.sortedRecords {
		if !isLeaving(r.member) && !r.addressReused {
			isLive[r.member.Instance] = isLive[r.member.Instance] || r.isLive() && now-r.counterIncreasedAt < maxAge
		}
	}
	live := 0
	for _, l := range isLive {
		if l {
			live++
		}
	}
	share := float64(live) / float64(len(isLive))
	switch {
	case share <= t.liveShare:
		t.liveShare, t.liveShareLowestAt = share, now
	case now-t.liveShareLowestAt >= liveShareRecovery:
		t.liveShare = share
	}
}

// isLeaving reports whether a member has begun to leave or has left.
func isLeaving(m *peerpb.Member) bool {
	return m.Phase == peerpb.Phase_PHASE_LEAVING || m.Phase == peerpb.Phase_PHASE_LEFT
}
