package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

const (
	// storeWait is how long a call to the store waits for a change; each wait
	// is drawn from the upper half, so that entries do not call at the same
	// moment. A longer wait costs fewer calls; an answer that is lost, or a
	// change that the waiting call has missed, is noticed only after it.
	storeWait = 3500 * time.Millisecond
	// storeGap is left between two calls to the store, so that many changes in
	// a row cost one call.
	storeGap = 500 * time.Millisecond
	// relayWait is how long a call to a relay waits, and relayMargin how much
	// later it counts as failed: a relay may be frozen or cut off, and what it
	// does not tell must be read elsewhere within the time for a change to be
	// in force.
	relayWait   = 700 * time.Millisecond
	relayMargin = 300 * time.Millisecond
	// avoidFor is how long a relay that failed is left alone, and
	// avoidStartingFor how long one that does not read the store yet.
	avoidFor         = 15 * time.Second
	avoidStartingFor = time.Second
	// Readers is the number of entries in a failure domain that read the store
	// for the others.
	Readers = 2
	// retryMin and retryMax bound the wait after a failed call; it is drawn at
	// random.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// relayAge is how old the newest answer of the store may be for an entry
	// to serve as a relay: one call and the gap before it.
	relayAge = storeWait + storeGap + time.Second
)

// Options of a Reader. All are required but Peers and Relays.
type Options struct {
	Store      Store
	Translator Translator
	Recorder   events.Recorder
	Peers      Peers // nil: every entry reads the store
	// Relays returns the addresses of the entries that read the store in this
	// failure domain, and whether this entry is one of them. Addresses that
	// skip names do not count.
	Relays func(skip func(address string) bool) (addresses []string, isOwn bool)
}

// Reader keeps the settings tree and the instance list of an entry up to date.
// It implements membership.Platform.
type Reader struct {
	o      Options
	ctx    context.Context // of the loop
	stop   context.CancelFunc
	start  sync.Once
	loop   sync.WaitGroup
	log    relayLog
	list   registrations
	avoid  map[string]time.Time // relays that failed, until when
	failed time.Time            // last failed call to the store
	broken bool                 // calls to the store fail

	mu      sync.Mutex
	changed chan struct{} // closed and replaced with every publication
	version uint64
	tree    []byte
	number  uint64 // counts the lists published
	listed  []platform.Instance
}

// NewReader returns a Reader. It begins to read with the first Watch.
func NewReader(o Options) *Reader {
	r := &Reader{o: o, changed: make(chan struct{}), avoid: map[string]time.Time{}}
	r.list = registrations{translator: o.Translator, rec: o.Recorder, known: map[string]registered{}, lapsed: map[string]time.Time{}}
	r.log.reset(0)
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Close ends the reading.
func (r *Reader) Close() {
	r.stop()
	r.loop.Wait()
}

// WatchTree waits until there is a settings tree above version after. The error
// is that of the context.
func (r *Reader) WatchTree(ctx context.Context, after uint64) (version uint64, text []byte, err error) {
	err = r.await(ctx, func() bool {
		version, text = r.version, r.tree
		return version > after
	})
	return version, text, err
}

// WatchInstances waits until the instance list is another one than that which it
// returned with the number after. The error is that of the context.
func (r *Reader) WatchInstances(ctx context.Context, after uint64) (number uint64, list []platform.Instance, err error) {
	err = r.await(ctx, func() bool {
		number, list = r.number, r.listed
		return number > after
	})
	return number, list, err
}

// ReadTree reads the settings tree from the store now, which confirms a version
// where reads are linearizable. The error is platform.ErrUnchanged where there
// is none above version after.
func (r *Reader) ReadTree(ctx context.Context, after uint64) (uint64, []byte, error) {
	version, text, err := r.o.Store.Tree(ctx)
	if err != nil {
		sleep(ctx, retryMin)
		return 0, nil, err
	}
	if version <= after {
		return 0, nil, platform.ErrUnchanged
	}
	return version, text, nil
}

// await waits until ready, which is called with the lock held, returns true.
func (r *Reader) await(ctx context.Context, ready func() bool) error {
	r.start.Do(func() { r.loop.Go(r.run) })
	for {
		r.mu.Lock()
		ok, changed := ready(), r.changed
		r.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (r *Reader) publish(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

// run reads everything, then follows the changes; after an error it starts over.
func (r *Reader) run() {
	for r.ctx.Err() == nil {
		revision, err := r.load()
		for err == nil {
			revision, err = r.follow(revision)
		}
		if !errors.Is(err, ErrHistoryLost) {
			sleep(r.ctx, retryMin+rand.N(retryMax-retryMin))
		}
	}
}

// load reads everything and then, so that it is exact, the changes since.
func (r *Reader) load() (uint64, error) {
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
		return r.loadFromPeer(err)
	}
	r.replace(append(all, since...), revision)
	r.log.touch(time.Now())
	return revision, nil
}

// since reads the changes after a stale snapshot without waiting for more.
func (r *Reader) since(revision uint64) ([]Change, uint64, error) {
	changes, next, err := r.o.Store.Changes(r.ctx, revision, time.Millisecond)
	return changes, max(revision, next), err
}

// loadFromPeer takes everything from a relay, for an entry that starts while the
// store cannot be reached.
func (r *Reader) loadFromPeer(cause error) (uint64, error) {
	address, ok := r.relay(time.Now())
	if !ok || r.ctx.Err() != nil {
		return 0, cause
	}
	all, revision, err := r.fromRelay(address, 0)
	if err != nil {
		return 0, cause
	}
	r.replace(all, revision)
	return revision, nil
}

// replace puts a snapshot in the place of all that is known.
func (r *Reader) replace(all []Change, revision uint64) {
	now := time.Now()
	newest := map[string]Change{}
	for _, c := range all {
		if c.Revision >= newest[c.Key].Revision {
			newest[c.Key] = c
		}
	}
	r.log.replace(newest, revision)
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

// next reads changes from a relay or, where none will do, from the store.
func (r *Reader) next(revision uint64) ([]Change, uint64, error) {
	if address, ok := r.relay(time.Now()); ok {
		changes, next, err := r.fromRelay(address, revision)
		if err == nil {
			return changes, max(revision, next), nil
		}
	}
	if !sleep(r.ctx, storeGap) {
		return nil, 0, r.ctx.Err()
	}
	wait := storeWait/2 + rand.N(storeWait/2)
	changes, next, err := r.o.Store.Changes(r.ctx, revision, r.list.patience(time.Now(), wait))
	if r.note(err) != nil {
		return nil, 0, err
	}
	r.log.touch(time.Now())
	return changes, max(revision, next), nil
}

// relay chooses a relay at random; false: this entry reads the store itself.
func (r *Reader) relay(now time.Time) (string, bool) {
	if r.o.Peers == nil || r.o.Relays == nil {
		return "", false
	}
	addresses, isOwn := r.o.Relays(func(address string) bool { return now.Before(r.avoid[address]) })
	if isOwn || len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

func (r *Reader) fromRelay(address string, revision uint64) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(r.ctx, relayWait+relayMargin)
	defer cancel()
	changes, next, err := r.o.Peers.Changes(ctx, address, revision, r.list.patience(time.Now(), relayWait))
	if err != nil && r.ctx.Err() == nil {
		pause := avoidFor
		if errors.Is(err, ErrNotReader) {
			pause = avoidStartingFor
		}
		r.avoid[address] = time.Now().Add(pause)
		r.o.Recorder.Record(eventRelayAvoided, events.F("address", address), events.F("error", err.Error()))
	}
	return changes, next, err
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

// sleep waits and returns false if the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
