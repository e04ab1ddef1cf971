package feed

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
)

// waitForReader waits, at the first start of the whole system, until this entry
// has discovered the reader of its failure domain and the reader has loaded
// everything. Otherwise all entries would read the store, because none knows a
// reader yet.
func (r *Reader) waitForReader() {
	if !clock.Sleep(r.ctx, firstDiscoveryTime) {
		return
	}
	if _, ok := r.chooseRelay(time.Now()); ok {
		spread := min(maxLoadSpread, time.Duration(r.options.Instances())*loadSpread)
		clock.Sleep(r.ctx, readerLoadTime+rand.N(max(spread, 1)))
	}
}

// load brings the state up to date from a relay or, if that is not possible, from
// a snapshot of the store. It returns the position to continue from.
func (r *Reader) load() (Position, error) {
	switch {
	case r.log.lastPosition() != (Position{}):
	case r.options.FirstStart:
		return r.loadAtFirstStart()
	default:
		return r.loadAtStart()
	}
	if address, ok := r.chooseRelay(time.Now()); ok {
		if at, err := r.loadFromRelay(address); err == nil {
			return at, nil
		}
	}
	return r.loadFromStore()
}

// loadAtFirstStart loads everything from a relay. Entries discover each other by and by,
// so that the first one by rank may not know yet that it is the reader; the request tells
// it. Only after firstLoadTimeout, or if the relay fails, is the store read.
func (r *Reader) loadAtFirstStart() (Position, error) {
	for end := time.Now().Add(firstLoadTimeout); time.Now().Before(end); {
		address, ok := r.chooseRelay(time.Now())
		if !ok {
			break
		}
		at, err := r.loadFromRelay(address)
		if err == nil {
			return at, nil
		}
		if !errors.Is(err, ErrNotReader) || !clock.Sleep(r.ctx, loadRetryDelay) {
			break
		}
	}
	return r.loadFromStore()
}

// loadAtStart loads the first pages of the store, and the rest from a relay. The entry
// serves meanwhile, so that it can wait for a relay that is starting too: if all entries
// read the rest at once, they take longer than one relay. Without a relay, or after
// startLoadTimeout, it reads the rest from the store.
func (r *Reader) loadAtStart() (Position, error) {
	var s snapshot
	if err := r.readFirstPages(&s); err != nil {
		return r.finishLoad(s, err)
	}
	for end := time.Now().Add(startLoadTimeout); s.hasMore && time.Now().Before(end); {
		address, ok := r.discoverRelay()
		if !ok {
			break
		}
		at, err := r.loadFromRelay(address)
		if err == nil {
			return at, nil
		}
		if !errors.Is(err, ErrNotReader) || !clock.Sleep(r.ctx, loadRetryDelay+rand.N(loadRetryDelay)) {
			break
		}
	}
	return r.finishLoad(s, nil)
}

// discoverRelay waits up to discoveryTime until a relay is known.
func (r *Reader) discoverRelay() (address string, ok bool) {
	for end := time.Now().Add(discoveryTime); ; {
		if address, ok = r.chooseRelay(time.Now()); ok || !time.Now().Before(end) || !clock.Sleep(r.ctx, relayDiscoveryInterval) {
			return address, ok
		}
	}
}

// loadFromRelay continues from this entry's last position if the relay still has
// the changes since, and replaces the full state otherwise. It fails if the relay
// is not in contact with the store.
func (r *Reader) loadFromRelay(address string) (Position, error) {
	last := r.log.lastPosition()
	// Without a state, the request shows whether the relay answers at all: the full
	// state may take long.
	_, err := r.changesFromRelay(address, latest(last, Position{Revision: 1}), time.Millisecond)
	switch {
	case err != nil && !errors.Is(err, ErrHistoryLost):
		return Position{}, err
	case err == nil && last != (Position{}):
		return last, nil
	}
	state, err := r.requestFromRelay(address, Position{}, 0, relayLoadTimeout)
	var since PeerReply
	if err == nil {
		// Unlike a request for the full state, a request for changes succeeds
		// only if the relay is in contact with the store.
		since, err = r.requestFromRelay(address, state.At, time.Millisecond, relayLoadTimeout)
	}
	if err == nil && !r.replaceIfNewer(append(state.Changes, since.Changes...), since.At, since.TreesAt) {
		err = ErrHistoryLost
	}
	if err == nil {
		r.keepRelay(address)
	}
	return since.At, err
}

// replaceIfNewer replaces this entry's state by a snapshot from a relay. It
// returns false without effect if the snapshot is older, because that would list
// backend servers again that have left.
func (r *Reader) replaceIfNewer(snapshot []Change, at, treesAt Position) bool {
	if at.isBefore(r.log.lastPosition()) {
		return false
	}
	r.replace(snapshot, at, treesAt, time.Time{})
	return true
}

// loadFromStore reads all pages, mostly stale ones, and then the changes since, which
// makes the state exact. If the changes are not available, also because a page is of an
// earlier era, it reads current pages.
func (r *Reader) loadFromStore() (Position, error) { return r.finishLoad(snapshot{}, nil) }

// finishLoad is loadFromStore for an entry that has read the pages of s, or has failed to
// read them.
func (r *Reader) finishLoad(s snapshot, err error) (Position, error) {
	if err == nil {
		err = r.readPages(&s, true)
	}
	at := s.at
	if err == nil && !s.isExact() {
		var changesSince []Change
		changesSince, at, err = r.changesSince(s.at)
		s.changes = append(s.changes, changesSince...)
	}
	if errors.Is(err, ErrHistoryLost) {
		s = snapshot{}
		err = r.readPages(&s, false)
		at = s.at
	}
	if r.recordStoreResult(err) != nil {
		return r.loadLastKnown(err)
	}
	now := time.Now()
	r.lastUpdate.Store(now.UnixNano())
	r.replace(s.changes, at, at, now)
	return at, nil
}

// changesSince reads the changes after the position of a stale snapshot without
// waiting for further ones.
func (r *Reader) changesSince(after Position) ([]Change, Position, error) {
	r.countCall(r.loadReason())
	changes, next, err := r.options.Store.Changes(r.ctx, after, time.Millisecond)
	return changes, latest(after, next), err
}

// loadLastKnown loads the last known state of a peer, for an entry without any state that
// starts while the store is unreachable or refuses it. It asks the first lastKnownPeers by
// rank in turn, because they may be starting or refused too. If that fails it returns
// cause.
func (r *Reader) loadLastKnown(cause error) (Position, error) {
	if r.options.PeerClient == nil || r.options.Relays == nil || r.log.lastPosition() != (Position{}) {
		return Position{}, cause
	}
	asked := map[string]bool{}
	for end := time.Now().Add(lastKnownTimeout); time.Now().Before(end) && clock.Sleep(r.ctx, relayDiscoveryInterval); {
		addresses, _ := r.options.Relays(func(address string) bool {
			return asked[address] || time.Now().Before(r.relayBackoff[address].until)
		})
		if len(addresses) == 0 || len(asked) == lastKnownPeers {
			clear(asked)
			continue
		}
		asked[addresses[0]] = true
		state, err := r.requestFromRelay(addresses[0], Position{}, 0, lastKnownRequestTimeout)
		if err == nil && r.replaceIfNewer(state.Changes, state.At, state.TreesAt) {
			return state.At, nil
		}
	}
	return Position{}, cause
}

// replace replaces the full state by a snapshot and publishes it. The settings trees are
// known up to treesAt. lastContact is
// the time of the store's answer, zero if a relay answered.
func (r *Reader) replace(snapshot []Change, at, treesAt Position, lastContact time.Time) {
	now := time.Now()
	newest := map[string]Change{}
	for _, c := range snapshot {
		if c.Revision >= newest[c.Key].Revision {
			newest[c.Key] = c
		}
	}
	if last := r.log.lastPosition(); last.Era < at.Era && last != (Position{}) {
		r.options.Recorder.Record(eventStoreRestored, events.F("era", at.Era), events.F("revision", at.Revision), events.F("previous_revision", last.Revision))
		r.evacuations.beginEra(newest, now)
		r.backends.beginEra(newest, now)
	}
	r.completeAt, r.treesAt, r.hasLostRelay = now, treesAt, false
	r.recordComplete(now)
	r.evacuations.replace(newest, at, now)
	r.backends.replace(newest, now, r.storeFailedRecently(now))
	r.publishInstances(now)
	for key, c := range newest {
		if r.options.Translator.Kind(key) == Tree {
			delete(newest, key)
			r.applyTree(c)
		}
	}
	r.log.replace(newest, at, treesAt, lastContact)
}
