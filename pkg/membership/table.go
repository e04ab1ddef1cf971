package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/settings"
)

// Intervals, timeouts and limits of exchanges.
const (
	round                = 500 * time.Millisecond // between exchanges with a random peer
	exchangeTimeout      = time.Second
	treeTimeout          = 3 * time.Second
	notifyFanout         = 3                     // peers per notification
	minNotifyInterval    = 50 * time.Millisecond // between notifications, so that a burst of changes shares one
	maxConcurrentCalls   = 8                     // outgoing calls in progress
	maxConcurrentFetches = 2                     // tree fetches in progress, separately from senders and from repliers
	// DefaultBytesPerSecond is the default send budget of one instance for
	// exchanges. An instance receives about as much, so that both stay below
	// the limit of 12 KB/s for control traffic.
	DefaultBytesPerSecond = 4096
	// DefaultMaxTreeBytes is the default limit of a decompressed tree, the
	// size of the largest value that the configuration service stores.
	DefaultMaxTreeBytes = 1 << 20
)

// Client calls peers by address. The context carries the deadline.
type Client interface {
	Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error)
	Tree(ctx context.Context, address string, in *peerpb.TreeRequest) (*peerpb.TreeResponse, error)
}

// Options configures a Table. Self, Client, Store, Clock and Recorder are required.
type Options struct {
	// Self holds the instance name, incarnation, address, failure domain,
	// ordinal and start time; the table maintains the other fields.
	Self           *peerpb.Member
	Client         Client
	Store          *settings.Store
	Clock          clock.Clock
	Recorder       events.Recorder
	SeedAddresses  []string  // peer addresses
	PeerState      PeerState // nil: no state is shared
	RandomSeed     uint64    // seed of random choices; 0: a random seed
	BytesPerSecond float64   // send budget; 0: DefaultBytesPerSecond
	MaxTreeBytes   int       // larger trees of peers are refused; 0: DefaultMaxTreeBytes
	// OnUnusableTree is called with the version of a peer's tree that cannot be used here,
	// so that the version is read elsewhere: the peer may be of another build. nil: none
	// is to be told.
	OnUnusableTree func(version uint64)
}

// peerReply holds what the last reply of a peer states about its settings.
type peerReply struct {
	epoch               uint64
	receivedAt          time.Duration
	confirmed           bool
	behindOrConflicting bool // this instance had a lower version, or another tree of the same version
}

// Table holds the records of all known instances and exchanges them with peers.
// It is safe for concurrent use.
type Table struct {
	options        Options
	notifyRequests chan struct{}
	fetchRequests  chan fetchRequest
	// A peer that stated a higher version in its own request may be
	// unreachable by the time of the fetch. Such fetches have slots of their
	// own, so that they do not delay fetches from peers that have just replied.
	senderFetchSlots  chan struct{}
	replierFetchSlots chan struct{}
	callSlots         chan struct{}
	wg                sync.WaitGroup

	mu                  sync.Mutex
	random              *rand.Rand
	self                *peerpb.Member
	records             map[uint64]*record // by incarnation
	sortedRecords       []*record          // the same records, sorted by compareRecords
	tableFull           bool
	ordinalConflict     bool
	liveShare           float64       // see LiveShare
	liveShareLowestAt   time.Duration // when the live share was as low as now
	cursor              cursors
	sendBudget          sendBudget
	roundCount          int
	listedEntries       map[string]platform.Instance // other entries of the instance list by address; nil: list not read yet
	replies             map[string]peerReply
	lastConfirmCall     map[string]time.Duration // time of the last confirmation call by address
	consecutiveFailures map[string]int           // failed calls since the last reply by address
	invalidDigest       []byte                   // digest of the last tree of a peer that was invalid
	confirmEpoch        uint64                   // epoch to which lastConfirmCall belongs
	treeCache           compressedTree
	stats               Stats
}

// Stats counts exchanges, bytes and trees since the start. Bytes are those of
// the encoded messages, excluding connection framing and trees.
type Stats struct {
	ExchangesStarted, ExchangesFailed, ExchangesServed uint64
	BytesSent, BytesReceived                           uint64
	TreesFetched, TreesServed                          uint64
}

// Stats returns the current counters.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// fetchRequest makes Run fetch the tree of a peer.
type fetchRequest struct {
	address string
	version uint64
}

// New returns a table that holds only the record of its own instance.
func New(options Options) *Table {
	if options.BytesPerSecond == 0 {
		options.BytesPerSecond = DefaultBytesPerSecond
	}
	if options.MaxTreeBytes == 0 {
		options.MaxTreeBytes = DefaultMaxTreeBytes
	}
	if options.RandomSeed == 0 {
		options.RandomSeed = rand.Uint64()
	}
	t := &Table{
		options:           options,
		notifyRequests:    make(chan struct{}, 1),
		fetchRequests:     make(chan fetchRequest, 16),
		senderFetchSlots:  make(chan struct{}, maxConcurrentFetches),
		replierFetchSlots: make(chan struct{}, maxConcurrentFetches),
		callSlots:         make(chan struct{}, maxConcurrentCalls),
		random:            rand.New(rand.NewPCG(options.RandomSeed, options.Self.Incarnation)),
		self:              proto.CloneOf(options.Self),
		records:           map[uint64]*record{}, replies: map[string]peerReply{},
		liveShare:       1,
		lastConfirmCall: map[string]time.Duration{}, consecutiveFailures: map[string]int{},
		sendBudget: sendBudget{rate: options.BytesPerSecond},
	}
	if t.self.Phase == peerpb.Phase_PHASE_UNSPECIFIED {
		t.self.Phase = peerpb.Phase_PHASE_STARTING
	}
	options.Store.Subscribe(func(*dynamic.Tree) { t.NotifyPeers() })
	return t
}

func (t *Table) now() time.Duration { return t.options.Clock.Read().Mono }

// NotifyPeers makes Run send the state of Options.PeerState to three random peers
// immediately instead of in the next round. The gateway calls it when a backend
// server starts to drain or a request is quarantined, also if it learned that
// from a peer, so that the change reaches the fleet in a logarithmic number of
// steps. Calls within 50 ms share one notification.
func (t *Table) NotifyPeers() {
	select {
	case t.notifyRequests <- struct{}{}:
	default:
	}
}

// Header returns the header for a message to a peer.
func (t *Table) Header() *peerpb.Header { return t.header() }

func (t *Table) header() *peerpb.Header {
	s := t.options.Store.State()
	h := &peerpb.Header{Instance: t.options.Self.Instance, Incarnation: t.options.Self.Incarnation, Confirmed: s.Confirmed}
	if s.Tree != nil {
		h.Version, h.Digest = s.Tree.Version, s.Tree.Digest[:]
	}
	return h
}

// ownRecord returns a copy of the own record with the version in force. The
// phase changes from starting to ready once a version is confirmed. The caller
// holds the lock.
func (t *Table) ownRecord() *peerpb.Member {
	s := t.options.Store.State()
	if s.Confirmed && t.self.Phase == peerpb.Phase_PHASE_STARTING {
		t.self.Phase = peerpb.Phase_PHASE_READY
	}
	if s.Tree != nil {
		t.self.Version, t.self.VersionSinceUnixMs = s.Tree.Version, s.Since.UnixMilli()
	}
	return proto.CloneOf(t.self)
}

// SetPhase sets the phase of this instance and notifies three random peers.
func (t *Table) SetPhase(p peerpb.Phase) {
	t.updateSelf(func(m *peerpb.Member) { m.Phase = p })
}

// SetSuccessor sets the peer address of the entry that took over the ledger of
// this incarnation and notifies three random peers.
func (t *Table) SetSuccessor(address string) {
	t.updateSelf(func(m *peerpb.Member) { m.Successor = address })
}

// updateSelf changes the own record, increments its counter and notifies peers.
func (t *Table) updateSelf(update func(*peerpb.Member)) {
	t.mu.Lock()
	update(t.self)
	t.self.Counter++
	t.mu.Unlock()
	t.NotifyPeers()
}

// SetSeedAddresses replaces the addresses of the seed peers.
func (t *Table) SetSeedAddresses(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options.SeedAddresses = slices.Clone(seeds)
}

// SetInstances replaces the other entries known from the instance list.
func (t *Table) SetInstances(list []platform.Instance) {
	entries := map[string]platform.Instance{}
	for _, i := range list {
		if i.Kind == platform.KindEntry && i.Address != t.options.Self.Address && i.Name != t.options.Self.Instance {
			entries[i.Address] = i
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedEntries = entries
}

// HandleExchange merges a peer's Exchange request and returns the response. It
// schedules a fetch of the peer's tree if the peer has a higher version.
func (t *Table) HandleExchange(in *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	senderRecord := t.senderRecord(in)
	s := t.readSharedState()
	t.mergeSharedState(SharedState{in.Drains, in.Quarantines, in.CrashEvidence})
	t.mu.Lock()
	t.stats.ExchangesServed++
	t.stats.BytesReceived += uint64(proto.Size(in))
	now := t.now()
	_, known := t.records[in.GetHeader().GetIncarnation()]
	t.mergeMembers(now, in.Members)
	out := t.composeMessage(now, s, false, !known)
	t.mu.Unlock()
	if senderRecord != nil && t.shouldFetchTree(in.Header, senderRecord.Address) {
		select {
		case t.fetchRequests <- fetchRequest{senderRecord.Address, in.Header.Version}:
		default: // the sender will state its version again in a later round
		}
	}
	return &peerpb.ExchangeResponse{
		Header: out.Header, Members: out.Members, Drains: out.Drains, Quarantines: out.Quarantines,
		CrashEvidence: out.CrashEvidence,
	}
}

// senderRecord returns the sender's own record, which every message contains,
// or nil if it is missing or has no address.
func (t *Table) senderRecord(in *peerpb.ExchangeRequest) *peerpb.Member {
	for _, m := range in.Members {
		if m.Incarnation == in.GetHeader().GetIncarnation() && m.Address != "" {
			return m
		}
	}
	return nil
}

func (t *Table) mergeSharedState(s SharedState) {
	if t.options.PeerState != nil && !s.isEmpty() {
		t.options.PeerState.Merge(s)
	}
}

// shouldFetchTree reports whether the peer has a higher version whose tree was
// not invalid before. A conflicting tree is recorded as an event.
func (t *Table) shouldFetchTree(h *peerpb.Header, address string) bool {
	order, ok := t.options.Store.CompareVersion(h.GetVersion(), h.GetDigest(), "peer "+address)
	t.mu.Lock()
	defer t.mu.Unlock()
	return ok && order > 0 && string(t.invalidDigest) != string(h.GetDigest())
}

// HandleTree returns the compressed tree in force if its version is at least
// MinVersion, and no tree otherwise.
func (t *Table) HandleTree(in *peerpb.TreeRequest) *peerpb.TreeResponse {
	out := &peerpb.TreeResponse{Header: t.header()}
	if tree := t.options.Store.Current(); tree != nil && tree.Version >= in.MinVersion {
		out.Tree = t.treeCache.compress(tree)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.stats.TreesServed++
	}
	return out
}

// Run exchanges with peers until the context ends.
func (t *Table) Run(ctx context.Context) {
	defer t.wg.Wait()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	notifyTimer := time.NewTimer(minNotifyInterval)
	defer notifyTimer.Stop()
	notifyPending, lastNotify := false, -minNotifyInterval
	nextRound := t.now() + time.Duration(t.randomInt(int(round)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.notifyRequests:
			notifyPending = true
		case <-notifyTimer.C:
		case request := <-t.fetchRequests:
			t.wg.Go(func() { t.fetchTree(ctx, t.senderFetchSlots, request.address, request.version) })
		case <-ticker.C:
			if t.now() >= nextRound {
				nextRound = t.now() + round
				t.round(ctx)
			}
			for _, address := range t.confirmTargets() {
				if t.startExchange(ctx, address, true, confirmTimeout) {
					t.recordConfirmCall(address)
				}
			}
			t.confirmWithoutConfirmedPeer()
		}
		if now := t.now(); notifyPending && now-lastNotify >= minNotifyInterval {
			notifyPending, lastNotify = false, now
			for _, address := range t.randomPeers(notifyFanout) {
				t.startExchange(ctx, address, true, exchangeTimeout)
			}
		} else if notifyPending {
			notifyTimer.Reset(minNotifyInterval - (now - lastNotify))
		}
	}
}

func (t *Table) randomInt(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

// round increments the own counter, prunes the records and starts an exchange
// with a random peer.
func (t *Table) round(ctx context.Context) {
	t.mu.Lock()
	t.roundCount++
	t.self.Counter++
	t.pruneRecords(t.now())
	t.updateLiveShare(t.now())
	sameDomain := t.roundCount%t.otherDomainInterval() != 0
	t.mu.Unlock()
	if address := t.randomPeer(sameDomain); address != "" {
		t.startExchange(ctx, address, false, exchangeTimeout)
	}
}

// startExchange starts an exchange in the background unless maxConcurrentCalls
// are in progress. It reports whether it started one.
func (t *Table) startExchange(ctx context.Context, address string, compact bool, timeout time.Duration) bool {
	select {
	case t.callSlots <- struct{}{}:
	default:
		return false
	}
	t.wg.Go(func() {
		defer func() { <-t.callSlots }()
		t.exchange(ctx, address, compact, timeout)
	})
	return true
}

// Announce sends the own record to three random peers and waits for their
// replies. An instance calls it before it exits, so that peers know its phase
// and successor.
func (t *Table) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, address := range t.randomPeers(notifyFanout) {
		wg.Go(func() { t.exchange(ctx, address, true, exchangeTimeout) })
	}
	wg.Wait()
}

// exchange calls a peer, merges its response, fetches its tree if the peer has a
// higher version, and evaluates the response for confirmation.
func (t *Table) exchange(ctx context.Context, address string, compact bool, timeout time.Duration) {
	epoch := t.options.Store.Epoch()
	s := t.readSharedState()
	t.mu.Lock()
	t.stats.ExchangesStarted++
	in := t.composeMessage(t.now(), s, compact, false)
	t.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := t.options.Client.Exchange(callCtx, address, in)
	t.mu.Lock()
	if err != nil {
		t.consecutiveFailures[address]++
		t.stats.ExchangesFailed++
		t.mu.Unlock()
		return
	}
	delete(t.consecutiveFailures, address)
	t.stats.BytesReceived += uint64(proto.Size(out))
	now := t.now()
	t.mergeMembers(now, out.Members)
	t.forgetOtherIncarnations(address, out.GetHeader().GetIncarnation())
	t.mu.Unlock()
	t.mergeSharedState(SharedState{out.Drains, out.Quarantines, out.CrashEvidence})
	if t.shouldFetchTree(out.Header, address) {
		t.fetchTree(ctx, t.replierFetchSlots, address, out.Header.Version)
	}
	t.recordConfirmReply(epoch, address, out.Header)
}

// fetchTree fetches the tree of a peer that stated a higher version and offers
// it to the store. It first waits for a slot.
func (t *Table) fetchTree(ctx context.Context, slots chan struct{}, address string, version uint64) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	if t.options.Store.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, treeTimeout)
	defer cancel()
	out, err := t.options.Client.Tree(ctx, address, &peerpb.TreeRequest{Header: t.header(), MinVersion: version})
	var text []byte
	if err == nil {
		if text, err = decompressTree(out.Tree, t.options.MaxTreeBytes); err != nil {
			t.reportUnusableTree(version)
		}
	}
	if err != nil {
		t.options.Recorder.Record(eventTreeFetchFailed, events.F("address", address), events.F("version", version), events.F("error", err.Error()))
		return
	}
	// Further peers ask for the tree as soon as it is in force.
	t.treeCache.keep(text, out.Tree)
	result := t.options.Store.Offer(text, "peer "+address)
	if result == settings.ResultInvalid {
		t.reportUnusableTree(version)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.TreesFetched++
	if result == settings.ResultInvalid {
		t.invalidDigest = out.GetHeader().GetDigest()
	}
}

func (t *Table) reportUnusableTree(version uint64) {
	if t.options.OnUnusableTree != nil {
		t.options.OnUnusableTree(version)
	}
}
