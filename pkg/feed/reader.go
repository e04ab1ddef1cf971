package feed

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

const (
	// storePollWait is the maximum time that a long poll of the store waits for a
	// change. Each wait is drawn at random from the upper half, so that entries
	// do not call simultaneously. A longer wait costs fewer calls, but a lost
	// reply, or a change that the poll missed, is noticed only at its end: until
	// then a relay has stale state although its pings are answered.
	storePollWait = 1400 * time.Millisecond
	// storePollGap is the pause between two polls of the store, so that a burst
	// of changes costs one call. In a large fleet something changes all the time:
	// the pause then determines both a reader's rate of calls and the delay
	// before a change is known. There is no pause after a reply with a large
	// settings tree: the next reply would hold all versions written meanwhile,
	// and arrive later by the time that each of them occupies the link.
	storePollGap = 800 * time.Millisecond
	// relayPollWait is the time that a long poll of a relay waits for a change,
	// and relayPollMargin the additional time after which the poll has failed. A
	// relay may be frozen or disconnected; the changes that it does not deliver
	// must be read elsewhere before the deadline for putting a change in force.
	relayPollWait   = 700 * time.Millisecond
	relayPollMargin = 300 * time.Millisecond
	// registrationsOnlyTime is how long after the last complete poll an entry whose
	// relay fails polls the store for registrations only. The settings tree arrives
	// through the exchange between entries meanwhile; an entry that reaches no peer
	// still gets it within the deadline for putting a change in force.
	registrationsOnlyTime = 1500 * time.Millisecond
	// failedRelayBackoff is how long a relay that failed is not used, and
	// notReaderBackoff how long a relay that does not read the store yet is not
	// used. notReaderBackoff is multiplied by notReaderBackoffFactor at each
	// repetition, up to failedRelayBackoff.
	failedRelayBackoff     = 15 * time.Second
	notReaderBackoff       = time.Second
	notReaderBackoffFactor = 4
	// Readers is the number of entries per failure domain that read the store
	// for the others. If a reader fails, the entry next in rank takes over; until
	// then each of the other entries reads the store itself.
	Readers = 1
	// firstDiscoveryTime is the time that all entries need at the first start to
	// discover each other, and readerLoadTime the time that the reader then needs to
	// load everything. firstLoadTimeout, or startLoadTimeout at a later start, is the
	// time after which an entry reads the store itself, and loadRetryDelay the time
	// between two requests to a relay that does not read the store yet.
	firstDiscoveryTime = time.Second
	readerLoadTime     = 500 * time.Millisecond
	firstLoadTimeout   = 3 * time.Second
	startLoadTimeout   = 2 * time.Second
	loadRetryDelay     = 200 * time.Millisecond
	// discoveryTime is how long an entry that starts later, and serves already from the
	// first pages of the store, waits until it has discovered a relay.
	discoveryTime = 500 * time.Millisecond
	// relayDiscoveryInterval is how often an entry that starts looks for a relay.
	relayDiscoveryInterval = 50 * time.Millisecond
	// relayLoadTimeout bounds the request for the full state to a relay. All entries of
	// a failure domain may request it at once at the first start: a relay with a link
	// of 20 Mbit/s then sends it for about 3 s.
	relayLoadTimeout = 5 * time.Second
	// lastKnownTimeout is how long an entry without state that the store refuses asks
	// its peers before it turns to the store again, and lastKnownRequestTimeout bounds
	// one such request.
	lastKnownTimeout        = time.Second
	lastKnownRequestTimeout = 500 * time.Millisecond
	lastKnownPeers          = 3
	// keepRelayTime is the time in which entries that start at once agree on their
	// ranks.
	keepRelayTime = 10 * time.Second
	// loadSpread and maxLoadSpread spread the requests for the full state at the first
	// start, in proportion to the number of instances, so that they do not delay the
	// other replies of the relay on its link.
	loadSpread    = 10 * time.Millisecond
	maxLoadSpread = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the random delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// relayMaxAge is the maximum age of the store's last answer for an entry to
	// serve as a relay: a relay that is disconnected from the store must not keep
	// its peers waiting while changes have to be put in force. A long poll gives
	// no sign of contact while it waits, so a relay in use pings the store with a
	// cheap call, which takes at most pingTimeout, whenever the last answer is
	// older than pingInterval. A failed ping is repeated after pingRetryDelay.
	// relayMaxAge leaves time for three pings, so that one lost packet does not
	// make all peers read the store.
	relayMaxAge    = 1200 * time.Millisecond
	pingInterval   = 450 * time.Millisecond
	pingTimeout    = 300 * time.Millisecond
	pingRetryDelay = 10 * time.Millisecond
	// largeUpdateBytes is the size of the values of one reply from which on it is
	// recorded as an event. A link of 10 Mbit/s carries it in about 50 ms.
	largeUpdateBytes = 64 << 10
	// peerRequestWindow is how long after the last request of a peer an entry
	// keeps reading the store on behalf of its peers.
	peerRequestWindow = 5 * time.Second
)

// sourceStore names the store as the source of changes in events; relays are named
// by their address.
const sourceStore = "store"

// Options of a Reader. Store, Translator, Recorder and, with FirstStart, Instances are
// required.
type Options struct {
	Store      Store
	Translator Translator
	Recorder   events.Recorder
	PeerClient PeerClient // nil: every entry reads the store
	// Relays returns the addresses of the entries that read the store for this
	// failure domain, and whether this entry is one of them. Addresses for which
	// skip returns true are left out. nil: every entry reads the store.
	Relays func(skip func(address string) bool) (addresses []string, isReader bool)
	// Instances returns the number of known instances, this one included.
	Instances func() int
	// CountCall is called for each call to the store; nil: it is not.
	CountCall func(CallReason)
	// FirstStart states that all entries are starting now, before the first
	// caller connects.
	FirstStart bool
	// TreeInForce returns the version of the settings tree in force, which may
	// have come from a peer; 0: none. nil: trees do not come from peers.
	TreeInForce func() uint64
	// EvacuationBound is the time in which an evacuation must take effect. After half of
	// it without a complete poll the evacuations are read apart. 0: not stated; they are
	// read with everything else only, which costs no further calls to the store.
	EvacuationBound time.Duration
}

// Reader keeps the settings tree and the instance list of an entry up to date.
// It implements membership.Platform.
type Reader struct {
	options         Options
	ctx             context.Context // of the background loops; ends with Close
	cancel          context.CancelFunc
	startOnce       sync.Once
	loops           sync.WaitGroup
	log             changeLog
	lastPeerRequest atomic.Int64 // last request of a peer, Unix nanoseconds
	pollsStore      atomic.Bool  // whether the store is polled, and not a relay
	lastUpdate      atomic.Int64 // last answer of the store or of a relay, Unix nanoseconds; 0: none
	lastSeparate    atomic.Int64 // end of the last read of the evacuations apart, also a failed one, Unix nanoseconds; 0: none
	lastComplete    atomic.Int64 // last time at which everything but settings trees was known, Unix nanoseconds; 0: none
	backends        registrations
	evacuations     *evacuations
	relayBackoff    map[string]relayBackoff // failed relays, by address
	loadedFrom      string                  // the relay that delivered the full state last
	keepRelayUntil  time.Time
	lastFailure     time.Time     // time of the last failed call to the store
	storeFailing    bool          // whether calls to the store currently fail
	hasLostRelay    bool          // whether the relay has failed since the last poll that was not for registrations only
	completeAt      time.Time     // end of the last poll that was not for registrations only
	treesAt         Position      // up to which the settings trees are known, decoded or not
	lastReplyLarge  bool          // whether the store's last reply held a large settings tree
	announced       chan struct{} // has a buffer of one; receives when a relay announces a tree
	received        chan struct{} // has a buffer of one; receives when receivedTree is set
	heldUp          chan struct{} // has a buffer of one; receives when a reply of the store is held up
	decodeMu        sync.Mutex    // serializes the decoding of trees
	calls           callCounts

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each publication
	version       uint64        // of the settings tree
	tree          []byte
	endPoll       context.CancelCauseFunc // ends the latest poll of the store; nil before the first
	receivedTree  *Change                 // newest settings tree that is not decoded yet; nil: none
	announcedTree uint64                  // highest version that a relay has announced without its value
	listNumber    uint64                  // number of instance lists published so far
	registered    []platform.Instance     // the backend servers in instanceList
	instanceList  []platform.Instance
}

// relayBackoff is the time for which a failed relay is not used.
type relayBackoff struct {
	until time.Time
	delay time.Duration // length of this backoff
}

// NewReader returns a Reader. It starts to read on the first call of WatchTree or
// WatchInstances.
func NewReader(options Options) *Reader {
	r := &Reader{options: options, changed: make(chan struct{}), relayBackoff: map[string]relayBackoff{}, announced: make(chan struct{}, 1), received: make(chan struct{}, 1), heldUp: make(chan struct{}, 1)}
	if store, ok := options.Store.(HeldUpNotifier); ok {
		store.NotifyHeldUp(func() { signal(r.heldUp) })
	}
	r.evacuations = newEvacuations(options.Translator, options.Recorder)
	r.backends = newRegistrations(options.Translator, options.Recorder)
	r.backends.isEvacuated = r.evacuations.contains
	r.log.reset(Position{})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// SinceLastUpdate returns the time since the store or a relay last answered; 0
// before the first answer.
func (r *Reader) SinceLastUpdate() time.Duration {
	at := r.lastUpdate.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// Close stops reading and waits for the background loops.
func (r *Reader) Close() {
	r.cancel()
	r.loops.Wait()
}

// WatchTree waits for a settings tree with a version above after and returns its
// version and text. The error is that of the context.
func (r *Reader) WatchTree(ctx context.Context, after uint64) (version uint64, text []byte, err error) {
	err = r.waitUntil(ctx, func() bool {
		version, text = r.version, r.tree
		return version > after
	})
	return version, text, err
}

// WatchInstances waits for an instance list with a number above after and returns
// its number and content: the backend servers, and the evacuated failure domains as
// instances of kind platform.KindFailureDomain. The number increases with each list. The
// error is that of the context.
func (r *Reader) WatchInstances(ctx context.Context, after uint64) (listNumber uint64, list []platform.Instance, err error) {
	err = r.waitUntil(ctx, func() bool {
		listNumber, list = r.listNumber, r.instanceList
		return listNumber > after
	})
	return listNumber, list, err
}

// ReadTree reads the settings tree directly from the store and returns its version
// and text. If reads are linearizable, this confirms the version. The error is
// platform.ErrUnchanged if there is no version above after, or that of the store.
func (r *Reader) ReadTree(ctx context.Context, after uint64) (uint64, []byte, error) {
	r.countCall(CallConfirmation)
	version, text, err := r.options.Store.Tree(ctx)
	if err != nil {
		clock.Sleep(ctx, minRetryDelay)
		return 0, nil, err
	}
	if version <= after {
		return 0, nil, platform.ErrUnchanged
	}
	return version, text, nil
}

// waitUntil waits until condition, which is called with r.mu held, returns true.
// The first call starts the background loops. The error is that of the context.
func (r *Reader) waitUntil(ctx context.Context, condition func() bool) error {
	r.startOnce.Do(func() {
		r.loops.Go(r.run)
		r.loops.Go(r.pingLoop)
		r.loops.Go(r.reportCalls)
		r.loops.Go(r.decodeReceivedTrees)
		r.loops.Go(r.fetchAnnouncedTrees)
		r.loops.Go(r.fetchHeldUpTrees)
		r.loops.Go(r.readLateEvacuations)
	})
	for {
		r.mu.Lock()
		ok, changed := condition(), r.changed
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

// publish applies update with r.mu held and wakes all waiting watchers.
func (r *Reader) publish(update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update()
	close(r.changed)
	r.changed = make(chan struct{})
}
