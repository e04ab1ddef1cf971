package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/events"
)

// run reads everything, then follows the changes; after an error it starts over.
func (r *Reader) run() {
	if r.o.FirstStart {
		r.meet()
	}
	for r.ctx.Err() == nil {
		revision, err := r.load()
		for err == nil {
			revision, err = r.follow(revision)
		}
		if errors.Is(err, ErrHistoryLost) {
			r.log.pause()
			continue
		}
		r.log.lose()
		sleep(r.ctx, retryMin+rand.N(retryMax-retryMin))
	}
}

// meet waits at the first start of the whole system until this entry has heard of
// the reader of its failure domain, and that one has read everything. All would
// read the store otherwise, because none knows of a reader yet.
func (r *Reader) meet() {
	if !sleep(r.ctx, meetTime) {
		return
	}
	if _, ok := r.relay(time.Now()); ok {
		sleep(r.ctx, loadTime)
	}
}

// load takes what this entry lacks from a relay or, where none will do, everything
// from the store.
func (r *Reader) load() (uint64, error) {
	if address, ok := r.relay(time.Now()); ok {
		if revision, err := r.loadFromRelay(address); err == nil {
			return revision, nil
		}
	}
	return r.loadFromStore()
}

// loadFromRelay goes on where this entry stands if the relay knows the changes
// since, and takes everything otherwise. It fails where the relay is out of touch
// with the store.
func (r *Reader) loadFromRelay(address string) (uint64, error) {
	if at := r.log.at(); at > 0 {
		_, _, err := r.fromRelay(address, at, time.Millisecond)
		if err == nil || !errors.Is(err, ErrHistoryLost) {
			return at, err
		}
	}
	all, revision, err := r.fromRelay(address, 0, 0)
	var since []Change
	if err == nil {
		// Only a relay that is in touch with the store answers this.
		since, revision, err = r.fromRelay(address, revision, time.Millisecond)
	}
	if err == nil && !r.take(append(all, since...), revision) {
		err = ErrHistoryLost
	}
	return revision, err
}

// take puts what a relay knows in the place of what this entry knows. It returns
// false where that is older, which would bring back backend servers that have left.
func (r *Reader) take(all []Change, revision uint64) bool {
	if revision < r.log.at() {
		return false
	}
	r.replace(all, revision, time.Time{})
	return true
}

// loadFromStore reads everything and then, so that it is exact, the changes since.
func (r *Reader) loadFromStore() (uint64, error) {
	all, revision, err := r.o.Store.Snapshot(r.ctx, true)
	var since []Change
	if err == nil {
		since, revision, err = r.since(revision)
	}
	if errors.Is(err, ErrHistoryLost) {
		since = nil
		all, revision, err = r.o.Store.Snapshot(r.ctx, false)
	}
	if r.note(err) != nil {
		return r.lastKnown(err)
	}
	now := time.Now()
	r.fed.Store(now.UnixNano())
	r.replace(append(all, since...), revision, now)
	return revision, nil
}

// since reads the changes after a stale snapshot without waiting for more.
func (r *Reader) since(revision uint64) ([]Change, uint64, error) {
	changes, next, err := r.o.Store.Changes(r.ctx, revision, time.Millisecond)
	return changes, max(revision, next), err
}

// lastKnown takes what a relay knew last, for an entry that starts while the store
// cannot be reached and knows nothing.
func (r *Reader) lastKnown(cause error) (uint64, error) {
	address, ok := r.relay(time.Now())
	if !ok || r.log.at() > 0 || r.ctx.Err() != nil {
		return 0, cause
	}
	all, revision, err := r.fromRelay(address, 0, 0)
	if err != nil || !r.take(all, revision) {
		return 0, cause
	}
	return revision, nil
}

// replace puts a snapshot in the place of all that is known. contact is when the
// store answered, zero where a relay did.
func (r *Reader) replace(all []Change, revision uint64, contact time.Time) {
	now := time.Now()
	newest := map[string]Change{}
	for _, c := range all {
		if c.Revision >= newest[c.Key].Revision {
			newest[c.Key] = c
		}
	}
	r.log.replace(newest, revision, contact)
	r.list.replace(newest, now, r.inTrouble(now))
	for _, c := range newest {
		r.takeTree(c)
	}
	r.publishList(now)
}

// follow waits for changes after a revision and takes them.
func (r *Reader) follow(revision uint64) (uint64, error) {
	changes, next, err := r.next(revision)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	dirty := r.list.expire(now)
	dirty = r.list.apply(changes, now, r.inTrouble(now)) || dirty
	for _, c := range changes {
		r.takeTree(c)
	}
	r.log.add(changes, next)
	if dirty {
		r.publishList(now)
	}
	return next, nil
}

// reached notes an answer of the store.
func (r *Reader) reached() {
	now := time.Now()
	r.log.touch(now)
	r.fed.Store(now.UnixNano())
}

// next reads changes from a relay or, where none will do, from the store.
func (r *Reader) next(revision uint64) ([]Change, uint64, error) {
	address, ok := r.relay(time.Now())
	if !ok {
		if !sleep(r.ctx, storeGap) {
			return nil, 0, r.ctx.Err()
		}
		// A relay may have been heard of meanwhile, above all after the start.
		address, ok = r.relay(time.Now())
	}
	if ok {
		changes, next, err := r.fromRelay(address, revision, relayWait)
		if err == nil {
			delete(r.avoided, address)
			r.fed.Store(time.Now().UnixNano())
			return changes, max(revision, next), nil
		}
		if errors.Is(err, ErrHistoryLost) {
			return nil, 0, err
		}
		// What the relay may have kept back is read at once.
	}
	wait := storeWait/2 + rand.N(storeWait/2)
	changes, next, err := r.o.Store.Changes(r.ctx, revision, r.list.patience(time.Now(), wait))
	if r.note(err) != nil {
		return nil, 0, err
	}
	r.reached()
	return changes, max(revision, next), nil
}

// relay chooses a relay at random; false: this entry reads the store itself. An
// entry that is asked by others reads it whatever its own rank: they may not know
// yet of the one that ranks before it.
func (r *Reader) relay(now time.Time) (string, bool) {
	if r.o.Peers == nil || r.o.Relays == nil || r.isAsked(now) {
		return "", false
	}
	addresses, isOwn := r.o.Relays(func(address string) bool { return now.Before(r.avoided[address].until) })
	if isOwn || len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// fromRelay asks a relay for the changes after a revision, which may wait for one.
func (r *Reader) fromRelay(address string, revision uint64, wait time.Duration) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(r.ctx, wait+relayMargin)
	defer cancel()
	changes, next, err := r.o.Peers.Changes(ctx, address, revision, r.list.patience(time.Now(), wait))
	if err != nil && r.ctx.Err() == nil && !errors.Is(err, ErrHistoryLost) {
		r.avoid(address, errors.Is(err, ErrNotReader))
		r.o.Recorder.Record(eventRelayAvoided, events.F("address", address), events.F("error", err.Error()))
	}
	return changes, next, err
}

// avoid leaves a relay alone for a while. One that says that it does not read the
// store may be about to begin: only if it says so again it is left alone for long.
func (r *Reader) avoid(address string, isStarting bool) {
	pause := avoidFor
	if isStarting {
		pause = min(avoidFor, max(avoidStartingFor, avoidFactor*r.avoided[address].pause))
	}
	r.avoided[address] = avoided{until: time.Now().Add(pause), pause: pause}
}

// takeTree translates a settings tree. Versions only rise, and a change that is
// read twice changes nothing.
func (r *Reader) takeTree(c Change) {
	if r.o.Translator.Kind(c.Key) != Tree || c.Deleted {
		return
	}
	version, text, err := r.o.Translator.Tree(c.Value)
	if err != nil {
		r.o.Recorder.Record(eventTreeRefused, events.F("revision", c.Revision), events.F("error", err.Error()))
		return
	}
	if version > r.version {
		r.publish(func() { r.version, r.tree = version, text })
	}
}

func (r *Reader) publishList(now time.Time) {
	list := r.list.instances(now)
	r.publish(func() { r.listed = list; r.number++ })
}

// troubleFor is how long after a failed call the store counts as in trouble.
const troubleFor = 3 * time.Second

func (r *Reader) inTrouble(now time.Time) bool {
	return !r.failed.IsZero() && now.Sub(r.failed) < troubleFor
}

// note records that calls to the store begin to fail or succeed again. A lost
// history is no failure of the store.
func (r *Reader) note(err error) error {
	switch {
	case err == nil && r.broken:
		r.broken = false
		r.o.Recorder.Record(eventReachable)
	case err == nil || r.ctx.Err() != nil:
	case errors.Is(err, ErrHistoryLost):
		r.o.Recorder.Record(eventHistoryLost)
	default:
		r.failed = time.Now()
		if !r.broken {
			r.broken = true
			r.o.Recorder.Record(eventUnreachable, events.F("error", err.Error()))
		}
	}
	return err
}
