package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/clock"
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
			clock.Sleep(r.ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
		}
	}
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
		if !clock.Sleep(r.ctx, storePollGap) {
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
