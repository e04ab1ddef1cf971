package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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
	// a row cost one call. In a large fleet something always changes, so that it
	// sets both the calls of a reader and how late a change is known.
	storeGap = 800 * time.Millisecond
	// relayWait is how long a call to a relay waits, and relayMargin how much
	// later it counts as failed: a relay may be frozen or cut off, and what it
	// does not tell must be read elsewhere within the time for a change to be
	// in force.
	relayWait   = 700 * time.Millisecond
	relayMargin = 300 * time.Millisecond
	// avoidFor is how long a relay that failed is left alone, and
	// avoidStartingFor how long one that does not read the store yet;
	// avoidFactor lengthens that with each further time.
	avoidFor         = 15 * time.Second
	avoidStartingFor = time.Second
	avoidFactor      = 4
	// Readers is the number of entries in a failure domain that read the store
	// for the others. The entry that ranks next takes over from one that fails;
	// until it does, each of the others reads the store itself.
	Readers = 1
	// meetTime is how long entries that all start at once take to hear of each
	// other, and loadTime how long the reader then takes to read everything.
	meetTime = 500 * time.Millisecond
	loadTime = 300 * time.Millisecond
	// retryMin and retryMax bound the wait after a failed call; it is drawn at
	// random.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// relayAge is how old the newest answer of the store may be for an entry to
	// serve as a relay: one that is cut off from the store must not keep others
	// waiting while changes have to be in force. A waiting call shows nothing
	// for seconds, so that a relay which is asked by others reaches for the
	// store with a cheap call of at most reachTimeout when the last answer is
	// older than reachEvery.
	// A lost packet must not turn all peers to the store, so that there is time
	// for three such calls.
	relayAge     = 1200 * time.Millisecond
	reachEvery   = 450 * time.Millisecond
	reachTimeout = 300 * time.Millisecond
	reachAgain   = 10 * time.Millisecond
	// servedFor is how long after the last call of a peer an entry reads the
	// store for its peers.
	servedFor = 5 * time.Second
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
	// FirstStart says that all entries start now and nobody calls them yet.
	FirstStart bool
}

// Reader keeps the settings tree and the instance list of an entry up to date.
// It implements membership.Platform.
type Reader struct {
	o       Options
	ctx     context.Context // of the loop
	stop    context.CancelFunc
	start   sync.Once
	loop    sync.WaitGroup
	log     relayLog
	served  atomic.Int64 // when a peer asked last, Unix nanoseconds
	fed     atomic.Int64 // last answer of the store or of a relay, Unix nanoseconds; 0: none
	list    registrations
	avoided map[string]avoided // relays that failed, by address
	failed  time.Time          // last failed call to the store
	broken  bool               // calls to the store fail

	mu      sync.Mutex
	changed chan struct{} // closed and replaced with every publication
	version uint64
	tree    []byte
	number  uint64 // counts the lists published
	listed  []platform.Instance
}

// avoided is a relay that is left alone.
type avoided struct {
	until time.Time
	pause time.Duration // the last one
}

// NewReader returns a Reader. It begins to read with the first Watch.
func NewReader(o Options) *Reader {
	r := &Reader{o: o, changed: make(chan struct{}), avoided: map[string]avoided{}}
	r.list = registrations{translator: o.Translator, rec: o.Recorder, known: map[string]registered{}, lapsed: map[string]time.Time{}}
	r.log.reset(0)
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Age returns how long ago the store or a relay answered last; 0 before the first
// answer.
func (r *Reader) Age() time.Duration {
	at := r.fed.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
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
	r.start.Do(func() {
		r.loop.Go(r.run)
		r.loop.Go(r.keepReach)
	})
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
