package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"lentilpin/pkg/peer/peerpb"
)

// Times of the confirmation.
const (
	confirmRound = 100 * time.Millisecond // between calls while not confirmed
	confirmCalls = 4                      // peers called in one such round
	repeatCall   = 15 * time.Second       // a peer that replied is called again after this
	repeatFailed = 500 * time.Millisecond // a peer that did not reply is called again after this
	// confirmTimeout is shorter than that of a round, because a silent peer
	// would keep one of the few calls that may be under way.
	confirmTimeout = 400 * time.Millisecond
	replyValid     = 30 * time.Second // a reply without confirmation is believed for this
)

// answered notes a peer's reply and confirms the version where the reply
// allows it.
func (t *Table) answered(epoch uint64, address string, h *peerpb.Header) {
	source := "peer " + address
	order, ok := t.o.Store.Matches(h.GetVersion(), h.GetDigest(), source)
	behind := !ok || order > 0
	t.mu.Lock()
	t.replies[address] = reply{epoch: epoch, at: t.now(), confirmed: h.GetConfirmed(), behind: behind}
	t.mu.Unlock()
	if h.GetConfirmed() && !behind {
		t.o.Store.ConfirmIn(epoch, source)
	}
}

// unanswered returns peers to ask for confirmation in this round.
func (t *Table) unanswered() []string {
	if t.o.Store.Confirmed() {
		return nil
	}
	epoch := t.o.Store.Epoch()
	t.mu.Lock()
	defer t.mu.Unlock()
	if epoch != t.confirmAt {
		t.confirmAt = epoch
		clear(t.attempts)
	}
	now := t.now()
	var due []string
	for _, address := range slices.Sorted(maps.Keys(t.peers())) {
		r, replied := t.replies[address]
		if replied && r.epoch == epoch && !r.behind && now-r.at < repeatCall {
			continue
		}
		if last, called := t.attempts[address]; called && now-last < repeatFailed {
			continue
		}
		due = append(due, address)
	}
	t.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	return due[:min(confirmCalls, len(due))]
}

func (t *Table) attempted(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[address] = t.now()
}

// confirmWithoutPeer confirms the version where nobody else can: there is no
// other entry, or all have replied and none is confirmed.
func (t *Table) confirmWithoutPeer() {
	if t.o.Store.Confirmed() || t.o.Store.Current() == nil {
		return
	}
	epoch := t.o.Store.Epoch()
	t.mu.Lock()
	others, ok := t.others()
	now := t.now()
	for _, address := range others {
		r, replied := t.replies[address]
		ok = ok && replied && r.epoch == epoch && !r.confirmed && !r.behind && now-r.at < replyValid
	}
	t.mu.Unlock()
	if !ok {
		return
	}
	source := "no other entry"
	if len(others) > 0 {
		source = fmt.Sprintf("all %d other entries, none confirmed", len(others))
	}
	t.o.Store.ConfirmIn(epoch, source)
}

// hasPeers reports whether any other entry is known.
func (t *Table) hasPeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers()) > 0
}
