package feed

import (
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/clock"
)

// waitForReader waits, at the first start of the whole system, until this entry
// has discovered the reader of its failure domain and the reader has loaded
// everything. Otherwise all entries would read the store, because none knows a
// reader yet.
func (r *Reader) waitForReader() {
	if !clock.Sleep(r.ctx, discoveryTime) {
		return
	}
	if _, ok := r.chooseRelay(time.Now()); ok {
		clock.Sleep(r.ctx, readerLoadTime)
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
