package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilpin/pkg/peer/peerpb"
)

// Intervals, timeouts and fan-out of confirmation.
const (
	confirmInterval       = 100 * time.Millisecond // between rounds of confirmation calls while the version is unconfirmed
	confirmFanout         = 4                      // peers called per confirmInterval
	confirmRepeatInterval = 15 * time.Second       // before the next call to a peer that replied
	confirmRetryInterval  = 500 * time.Millisecond // before the next call to a peer that did not reply
	// confirmTimeout is shorter than exchangeTimeout, because an unresponsive
	// peer occupies one of the maxConcurrentCalls slots until the timeout.
	confirmTimeout      = 400 * time.Millisecond
	unconfirmedReplyTTL = 30 * time.Second // validity of a reply from an unconfirmed peer
)

// recordConfirmReply stores a peer's reply to a call that was sent in the given
// epoch. It confirms the version in force if the peer is confirmed and has
// neither a higher version nor a conflicting tree.
func (t *Table) recordConfirmReply(epoch uint64, address string, h *peerpb.Header) {
	source := "peer " + address
	order, ok := t.options.Store.CompareVersion(h.GetVersion(), h.GetDigest(), source)
	behindOrConflicting := !ok || order > 0
	t.mu.Lock()
	t.replies[address] = peerReply{epoch: epoch, receivedAt: t.now(), confirmed: h.GetConfirmed(), behindOrConflicting: behindOrConflicting}
	t.mu.Unlock()
	if h.GetConfirmed() && !behindOrConflicting {
		t.options.Store.ConfirmInEpoch(epoch, source)
	}
}

// confirmTargets returns up to confirmFanout random peers to call for
// confirmation, none once the version is confirmed. It skips peers that replied
// in this epoch within confirmRepeatInterval, unless this instance was behind
// or in conflict, and peers called within confirmRetryInterval.
func (t *Table) confirmTargets() []string {
	if t.options.Store.Confirmed() {
		return nil
	}
	epoch := t.options.Store.Epoch()
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch != t.confirmEpoch {
		t.confirmEpoch = epoch
		clear(t.lastConfirmCall)
	}
	now := t.now()
	var targets []string
	for _, address := range slices.Sorted(maps.Keys(t.peerDomains())) {
		r, replied := t.replies[address]
		if replied && r.epoch == epoch && !r.behindOrConflicting && now-r.receivedAt < confirmRepeatInterval {
			continue
		}
		if lastCall, called := t.lastConfirmCall[address]; called && now-lastCall < confirmRetryInterval {
			continue
		}
		targets = append(targets, address)
	}
	t.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(confirmFanout, len(targets))]
}

// recordConfirmCall stores the time of a confirmation call to the peer.
func (t *Table) recordConfirmCall(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastConfirmCall[address] = t.now()
}

// confirmWithoutConfirmedPeer confirms the version if there is no other live
// entry, or if all of them have replied, none is confirmed and none has a higher
// version or a conflicting tree.
func (t *Table) confirmWithoutConfirmedPeer() {
	if t.options.Store.Confirmed() || t.options.Store.Current() == nil {
		return
	}
	epoch := t.options.Store.Epoch()
	t.mu.Lock()
	otherEntries, ok := t.otherEntries()
	now := t.now()
	for _, address := range otherEntries {
		r, replied := t.replies[address]
		ok = ok && replied && r.epoch == epoch && !r.confirmed && !r.behindOrConflicting && now-r.receivedAt < unconfirmedReplyTTL
	}
	t.mu.Unlock()
	if !ok {
		return
	}
	source := "no other entry"
	if len(otherEntries) > 0 {
		source = fmt.Sprintf("all %d other entries, none confirmed", len(otherEntries))
	}
	t.options.Store.ConfirmInEpoch(epoch, source)
}

// hasPeers reports whether any other entry is known.
func (t *Table) hasPeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peerDomains()) > 0
}
