package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/events"
)

// run loads the full state, then follows the changes; after an error it starts
// over. A call that has timed out is not followed by a delay: it has taken long
// enough, and its reply may have been lost.
func (r *Reader) run() {
	if r.options.FirstStart {
		r.waitForReader()
	}
	for r.ctx.Err() == nil {
		revision, err := r.load()
		for err == nil {
			revision, err = r.applyNextChanges(revision)
		}
		if errors.Is(err, ErrHistoryLost) {
			r.log.stopFollowing()
			continue
		}
		r.log.invalidate()
		if !errors.Is(err, context.DeadlineExceeded) {
			sleep(r.ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
		}
	}
}

// waitForReader waits, at the first start of the whole system, until this entry
// has discovered the reader of its failure domain and the reader has loaded
// everything. Otherwise all entries would read the store, because none knows a
// reader yet.
func (r *Reader) waitForReader() {
	if !sleep(r.ctx, discoveryTime) {
		return
	}
	if _, ok := r.chooseRelay(time.Now()); ok {
		sleep(r.ctx, readerLoadTime)
	}
}

// load brings the state up to date from a relay or, if that is not possible, from
// a snapshot of the store. It returns the revision to continue from.
func (r *Reader) load() (uint64, error) {
	if address, ok := r.chooseRelay(time.Now()); ok {
		if revision, err := r.loadFromRelay(address); err == nil {
			return revision, nil
		}
	}
	return r.loadFromStore()
}

// loadFromRelay continues from this entry's last revision if the relay still has
// the changes since, and replaces the full state otherwise. It fails if the relay
// is not in contact with the store.
func (r *Reader) loadFromRelay(address string) (uint64, error) {
	if lastRevision := r.log.lastRevision(); lastRevision > 0 {
		_, _, err := r.changesFromRelay(address, lastRevision, time.Millisecond)
		if err == nil || !errors.Is(err, ErrHistoryLost) {
			return lastRevision, err
		}
	}
	snapshot, revision, err := r.changesFromRelay(address, 0, 0)
	var changesSince []Change
	if err == nil {
		// Unlike a request for the full state, a request for changes succeeds
		// only if the relay is in contact with the store.
		changesSince, revision, err = r.changesFromRelay(address, revision, time.Millisecond)
	}
	if err == nil && !r.replaceIfNewer(append(snapshot, changesSince...), revision) {
		err = ErrHistoryLost
	}
	return revision, err
}

// replaceIfNewer replaces this entry's state by a snapshot from a relay. It
// returns false without effect if the snapshot is older, because that would list
// backend servers again that have left.
func (r *Reader) replaceIfNewer(snapshot []Change, revision uint64) bool {
	if revision < r.log.lastRevision() {
		return false
	}
	r.replace(snapshot, revision, time.Time{})
	return true
}

// loadFromStore reads a stale snapshot and then the changes since, which makes
// the state exact. If the changes are no longer available it reads a current
// snapshot.
func (r *Reader) loadFromStore() (uint64, error) {
	snapshot, revision, err := r.options.Store.Snapshot(r.ctx, true)
	var changesSince []Change
	if err == nil {
		changesSince, revision, err = r.changesSince(revision)
	}
	if errors.Is(err, ErrHistoryLost) {
		changesSince = nil
		snapshot, revision, err = r.options.Store.Snapshot(r.ctx, false)
	}
	if r.recordStoreResult(err) != nil {
		return r.loadLastKnown(err)
	}
	now := time.Now()
	r.lastUpdate.Store(now.UnixNano())
	r.replace(append(snapshot, changesSince...), revision, now)
	return revision, nil
}

// changesSince reads the changes after the revision of a stale snapshot without
// waiting for further ones.
func (r *Reader) changesSince(revision uint64) ([]Change, uint64, error) {
	changes, next, err := r.options.Store.Changes(r.ctx, revision, time.Millisecond)
	return changes, max(revision, next), err
}

// loadLastKnown loads the last known state of a relay, for an entry without any
// state that starts while the store is unreachable. If that fails it returns cause.
func (r *Reader) loadLastKnown(cause error) (uint64, error) {
	address, ok := r.chooseRelay(time.Now())
	if !ok || r.log.lastRevision() > 0 || r.ctx.Err() != nil {
		return 0, cause
	}
	snapshot, revision, err := r.changesFromRelay(address, 0, 0)
	if err != nil || !r.replaceIfNewer(snapshot, revision) {
		return 0, cause
	}
	return revision, nil
}

// replace replaces the full state by a snapshot and publishes it. lastContact is
// the time of the store's answer, zero if a relay answered.
func (r *Reader) replace(snapshot []Change, revision uint64, lastContact time.Time) {
	now := time.Now()
	newest := map[string]Change{}
	for _, c := range snapshot {
		if c.Revision >= newest[c.Key].Revision {
			newest[c.Key] = c
		}
	}
	r.backends.replace(newest, now, r.storeFailedRecently(now))
	r.publishInstances(now)
	for key, c := range newest {
		newest[key] = r.applyTree(c)
	}
	r.log.replace(newest, revision, lastContact)
}

// applyNextChanges waits for changes after a revision, applies them and returns
// the revision to continue from.
func (r *Reader) applyNextChanges(revision uint64) (uint64, error) {
	start := time.Now()
	source, changes, next, err := r.next(revision)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	dirty := r.backends.dropEndedHolds(now)
	dirty = r.backends.apply(changes, now, r.storeFailedRecently(now)) || dirty
	// The instance list comes before the trees, whose decoding takes longer.
	if dirty {
		r.publishInstances(now)
	}
	r.log.add(r.applyTrees(changes), next)
	if size := valueBytes(changes); size >= largeUpdateBytes {
		r.options.Recorder.Record(eventLargeUpdate, events.F("source", source), events.F("changes", len(changes)), events.F("bytes", size),
			events.F("read_ms", now.Sub(start).Milliseconds()), events.F("apply_ms", time.Since(now).Milliseconds()))
	}
	return next, nil
}

// valueBytes returns the total size of the values of changes.
func valueBytes(changes []Change) (n int) {
	for _, c := range changes {
		n += len(c.Value)
	}
	return n
}

// recordStoreAnswer records the time of an answer of the store.
func (r *Reader) recordStoreAnswer() {
	now := time.Now()
	r.log.recordAnswer(now)
	r.lastUpdate.Store(now.UnixNano())
}

// next polls a relay for changes after a revision or, if there is none or it
// fails, the store. source is the address of the relay, or sourceStore.
func (r *Reader) next(revision uint64) (source string, changes []Change, next uint64, err error) {
	address, ok := r.chooseRelay(time.Now())
	if !ok && !r.lastReplyLarge {
		if !sleep(r.ctx, storePollGap) {
			return "", nil, 0, r.ctx.Err()
		}
		// A relay may have been discovered meanwhile, mostly after the start.
		address, ok = r.chooseRelay(time.Now())
	}
	if ok {
		changes, next, err = r.changesFromRelay(address, revision, relayPollWait)
		if err == nil {
			delete(r.relayBackoff, address)
			r.lastUpdate.Store(time.Now().UnixNano())
			return address, changes, max(revision, next), nil
		}
		if errors.Is(err, ErrHistoryLost) {
			return "", nil, 0, err
		}
		// The store is polled without the pause, because the relay may have
		// withheld changes.
	}
	wait := storePollWait/2 + rand.N(storePollWait/2)
	changes, next, err = r.options.Store.Changes(r.ctx, revision, r.backends.limitWait(time.Now(), wait))
	if r.recordStoreResult(err) != nil {
		return "", nil, 0, err
	}
	r.recordStoreAnswer()
	r.lastReplyLarge = valueBytes(changes) > maxRelayedTreeBytes
	return sourceStore, changes, max(revision, next), nil
}

// chooseRelay chooses a relay at random; false means that this entry reads the
// store itself. An entry with recent requests from peers reads the store whatever
// its rank, because these peers may not know the entry that ranks before it yet.
func (r *Reader) chooseRelay(now time.Time) (string, bool) {
	if r.options.PeerClient == nil || r.options.Relays == nil || r.isServingPeers(now) {
		return "", false
	}
	addresses, isReader := r.options.Relays(func(address string) bool { return now.Before(r.relayBackoff[address].until) })
	if isReader || len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// changesFromRelay requests the changes after a revision from a relay. The relay
// waits up to wait for a change. A relay that fails is not used for some time.
func (r *Reader) changesFromRelay(address string, revision uint64, wait time.Duration) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(r.ctx, wait+relayPollMargin)
	defer cancel()
	changes, next, err := r.options.PeerClient.Changes(ctx, address, revision, r.backends.limitWait(time.Now(), wait))
	if err != nil && r.ctx.Err() == nil && !errors.Is(err, ErrHistoryLost) {
		r.backOff(address, errors.Is(err, ErrNotReader))
		r.options.Recorder.Record(eventRelayAvoided, events.F("address", address), events.F("error", err.Error()))
	}
	return changes, next, err
}

// backOff excludes a relay from use for some time. A relay that does not read the
// store may be about to start doing so: its first backoff is short, and only
// repeated ones are long.
func (r *Reader) backOff(address string, isNotReader bool) {
	delay := failedRelayBackoff
	if isNotReader {
		delay = min(failedRelayBackoff, max(notReaderBackoff, notReaderBackoffFactor*r.relayBackoff[address].delay))
	}
	r.relayBackoff[address] = relayBackoff{until: time.Now().Add(delay), delay: delay}
}

// publishInstances publishes the current instance list.
func (r *Reader) publishInstances(now time.Time) {
	backends := r.backends.instances(now)
	r.publish(func() { r.instanceList = backends; r.listNumber++ })
}

// recentFailureWindow is how long a failed call to the store counts as recent.
const recentFailureWindow = 3 * time.Second

// storeFailedRecently reports whether a call to the store failed within
// recentFailureWindow.
func (r *Reader) storeFailedRecently(now time.Time) bool {
	return !r.lastFailure.IsZero() && now.Sub(r.lastFailure) < recentFailureWindow
}

// recordStoreResult records an event when calls to the store start to fail or
// succeed again, and returns err. A lost history is not a failure of the store.
func (r *Reader) recordStoreResult(err error) error {
	switch {
	case err == nil && r.storeFailing:
		r.storeFailing = false
		r.options.Recorder.Record(eventReachable)
	case err == nil || r.ctx.Err() != nil:
	case errors.Is(err, ErrHistoryLost):
		r.options.Recorder.Record(eventHistoryLost)
	default:
		r.lastFailure = time.Now()
		if !r.storeFailing {
			r.storeFailing = true
			r.options.Recorder.Record(eventUnreachable, events.F("error", err.Error()))
		}
	}
	return err
}
