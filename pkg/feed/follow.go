package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
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
	p, err := r.next(after)
	if err != nil {
		return Position{}, err
	}
	now := time.Now()
	changes, ahead := r.separateAhead(p.changes, p.next)
	dirty := r.evacuations.endHolds(now)
	dirty = r.evacuations.apply(p.changes, now) || dirty
	dirty = r.backends.endHolds(now) || dirty
	dirty = r.backends.apply(changes, now, r.storeFailedRecently(now)) || dirty
	if dirty {
		r.publishInstances(now)
	}
	if !p.registrationsOnly {
		r.completeAt, r.treesAt = now, p.treesAt
	}
	r.recordComplete(now)
	r.log.add(r.takeTree(changes), p.next, r.treesAt)
	r.log.addAhead(ahead, p.next.Era)
	if size := valueBytes(p.changes); size >= largeUpdateBytes {
		r.options.Recorder.Record(eventLargeUpdate, events.F("source", p.source), events.F("changes", len(p.changes)), events.F("bytes", size),
			events.F("read_ms", now.Sub(start).Milliseconds()), events.F("apply_ms", time.Since(now).Milliseconds()))
	}
	return p.next, nil
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

// poll is the result of one poll of a relay or of the store.
type poll struct {
	source  string // the address of the relay, or sourceStore
	changes []Change
	next    Position // the position to continue from
	treesAt Position // up to which the settings trees are known
	// registrationsOnly says that the poll was for registrations and evacuations; treesAt is
	// not set.
	registrationsOnly bool
}

// next polls a relay for changes after a position or, if there is none or it
// fails, the store.
func (r *Reader) next(after Position) (poll, error) {
	pollCtx, cancel := r.pollContext()
	defer cancel()
	if r.hasLostRelay {
		return r.pollWithoutRelay(pollCtx, after)
	}
	address, ok := r.chooseRelay(time.Now())
	if !ok && !r.lastReplyLarge {
		if !clock.Sleep(pollCtx, storePollGap) {
			return poll{}, context.Cause(pollCtx)
		}
		// A relay may have been discovered meanwhile, mostly after the start.
		address, ok = r.chooseRelay(time.Now())
	}
	r.pollsStore.Store(!ok)
	if !ok {
		return r.pollStore(pollCtx, after)
	}
	reply, err := r.changesFromRelay(address, after, relayPollWait)
	if err == nil {
		delete(r.relayBackoff, address)
		r.lastUpdate.Store(time.Now().UnixNano())
		return poll{source: address, changes: reply.Changes, next: latest(after, reply.At), treesAt: latest(r.treesAt, reply.TreesAt)}, nil
	}
	if errors.Is(err, ErrHistoryLost) {
		return poll{}, err
	}
	r.hasLostRelay = true
	return r.pollWithoutRelay(pollCtx, after)
}

// pollWithoutRelay polls the store, without a pause, after the relay has failed, because
// it may have withheld changes. While the settings tree is large, the polls are for
// registrations only until registrationsOnlyTime has passed. A complete one ends them:
// another relay, which may fail too, is not tried before.
func (r *Reader) pollWithoutRelay(pollCtx context.Context, after Position) (poll, error) {
	if wait := time.Until(r.completeAt.Add(registrationsOnlyTime)); wait > 0 && r.log.isTreeLarge() {
		return r.pollRegistrations(pollCtx, after, wait)
	}
	p, err := r.pollStore(pollCtx, after)
	r.hasLostRelay = r.hasLostRelay && err != nil
	return p, err
}

// pollStore polls the store for all changes after a position, and for those of settings
// trees after r.treesAt.
func (r *Reader) pollStore(pollCtx context.Context, after Position) (poll, error) {
	r.pollsStore.Store(true)
	wait := storePollWait/2 + rand.N(storePollWait/2)
	r.countCall(r.pollReason())
	changes, next, err := r.options.Store.Changes(pollCtx, earliest(after, r.treesAt), r.backends.limitWait(time.Now(), wait))
	if err = r.recordPollResult(pollCtx, err); err != nil {
		return poll{}, err
	}
	r.recordStoreAnswer()
	r.lastReplyLarge = valueBytes(changes) > maxRelayedTreeBytes
	next = latest(after, next)
	return poll{source: sourceStore, changes: changes, next: next, treesAt: next}, nil
}

// pollRegistrations polls the store for changes of registrations, and reads the evacuations
// after it. When a relay of a large fleet is slow, all entries that follow it turn to the
// store at once, and a settings tree in each reply would occupy their links.
func (r *Reader) pollRegistrations(pollCtx context.Context, after Position, wait time.Duration) (poll, error) {
	r.pollsStore.Store(true)
	r.countCall(CallFallback)
	changes, next, err := r.options.Store.RegistrationChanges(pollCtx, after, r.backends.limitWait(time.Now(), wait))
	if err = r.recordPollResult(pollCtx, err); err != nil {
		return poll{}, err
	}
	r.recordStoreAnswer()
	next = latest(after, next)
	ofEvacuations, err := r.evacuationsTo(next)
	if err = r.recordPollResult(pollCtx, err); err != nil {
		return poll{}, err
	}
	changes = append(changes, ofEvacuations...)
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return poll{source: sourceStore, changes: changes, next: next, registrationsOnly: true}, nil
}

// recordPollResult passes the result of a poll of the store to recordStoreResult and
// returns it: ErrHistoryLost if cancelPoll has ended the poll.
func (r *Reader) recordPollResult(pollCtx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(pollCtx), ErrHistoryLost) {
		err = ErrHistoryLost
	}
	return r.recordStoreResult(err)
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

// publishInstances publishes the current instance list with the evacuations.
func (r *Reader) publishInstances(now time.Time) {
	registered := r.backends.instances(now)
	r.publish(func() {
		r.registered, r.instanceList = registered, r.evacuations.withRegistered(registered)
		r.listNumber++
	})
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
