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
		at, err := r.load()
		for err == nil {
			at, err = r.applyNextChanges(at)
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

// applyNextChanges waits for changes after a position, applies them and returns
// the position to continue from.
func (r *Reader) applyNextChanges(after Position) (Position, error) {
	start := time.Now()
	source, changes, next, err := r.next(after)
	if err != nil {
		return Position{}, err
	}
	now := time.Now()
	dirty := r.backends.endHolds(now)
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

// next polls a relay for changes after a position or, if there is none or it
// fails, the store. source is the address of the relay, or sourceStore.
func (r *Reader) next(after Position) (source string, changes []Change, next Position, err error) {
	pollCtx, cancel := r.pollContext()
	defer cancel()
	address, ok := r.chooseRelay(time.Now())
	if !ok && !r.lastReplyLarge {
		if !clock.Sleep(pollCtx, storePollGap) {
			return "", nil, Position{}, context.Cause(pollCtx)
		}
		// A relay may have been discovered meanwhile, mostly after the start.
		address, ok = r.chooseRelay(time.Now())
	}
	r.pollsStore.Store(!ok)
	if ok {
		changes, next, err = r.changesFromRelay(address, after, relayPollWait)
		if err == nil {
			delete(r.relayBackoff, address)
			r.lastUpdate.Store(time.Now().UnixNano())
			return address, changes, latest(after, next), nil
		}
		if errors.Is(err, ErrHistoryLost) {
			return "", nil, Position{}, err
		}
		// The store is polled without the pause, because the relay may have
		// withheld changes.
	}
	r.pollsStore.Store(true)
	wait := storePollWait/2 + rand.N(storePollWait/2)
	changes, next, err = r.options.Store.Changes(pollCtx, after, r.backends.limitWait(time.Now(), wait))
	if err != nil && errors.Is(context.Cause(pollCtx), ErrHistoryLost) {
		err = ErrHistoryLost
	}
	if r.recordStoreResult(err) != nil {
		return "", nil, Position{}, err
	}
	r.recordStoreAnswer()
	r.lastReplyLarge = valueBytes(changes) > maxRelayedTreeBytes
	return sourceStore, changes, latest(after, next), nil
}

// pollContext returns the context of a poll of the store and of the pause before it,
// which cancelPoll ends with the cause ErrHistoryLost.
func (r *Reader) pollContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endPoll = cancel
	return ctx, func() { cancel(nil) }
}

// cancelPoll ends the poll of the store in progress, or the pause before it, as if the
// store had lost its history.
func (r *Reader) cancelPoll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endPoll != nil {
		r.endPoll(ErrHistoryLost)
	}
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
