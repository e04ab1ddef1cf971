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

// Defaults of the exchange.
const (
	round            = 500 * time.Millisecond
	otherDomainEvery = 4 // every n-th round goes to another failure domain
	exchangeTimeout  = time.Second
	treeTimeout      = 3 * time.Second
	noticePeers      = 3
	noticeGap        = 50 * time.Millisecond // between notices, so that a burst of changes shares one
	maxCalls         = 8                     // calls under way that this instance started
	maxFetches       = 2                     // trees under way, for each of the two reasons to fetch
	// DefaultBytesPerSecond is sent by one instance in exchanges. As much is
	// received, so that both stay below the 12 KB/s of control overhead.
	DefaultBytesPerSecond = 4096
	// DefaultMaxTreeBytes is the largest value that the configuration service
	// holds.
	DefaultMaxTreeBytes = 1 << 20
)

// Client calls a peer. The context carries the deadline.
type Client interface {
	Exchange(ctx context.Context, address string, in *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error)
	Tree(ctx context.Context, address string, in *peerpb.TreeRequest) (*peerpb.TreeResponse, error)
}

// Options of a Table. Self, Client, Store, Clock and Recorder are required.
type Options struct {
	// Self names the instance, its incarnation, address, failure domain,
	// ordinal and start; the table maintains the rest.
	Self           *peerpb.Member
	Client         Client
	Store          *settings.Store
	Clock          clock.Clock
	Recorder       events.Recorder
	Seeds          []string // peer addresses
	Source         Source   // nil: nothing to share
	Seed           uint64   // of random choices; 0: random
	BytesPerSecond float64  // default DefaultBytesPerSecond
	MaxTreeBytes   int      // default DefaultMaxTreeBytes; a larger tree of a peer is refused
}

// reply is the last reply of a peer.
type reply struct {
	epoch     uint64
	at        time.Duration
	confirmed bool
	behind    bool // this instance had a lower version or another tree
}

// Table is the table of members of one instance. It is safe for concurrent use.
type Table struct {
	o       Options
	notices chan struct{}
	pulls   chan pull
	// A peer that stated a higher version in its own call may be cut off by
	// the time it is asked; such fetches must not hold up those from a peer
	// that has just replied.
	fetchCallers  chan struct{}
	fetchRepliers chan struct{}
	calls         chan struct{}
	wg            sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	self      *peerpb.Member
	records   map[uint64]*record // by incarnation
	order     []*record          // the same in the order of compareRecords
	full      bool
	conflict  bool
	cursor    cursors
	budget    budget
	rounds    int
	listed    map[string]platform.Instance // entries by address; nil: list not read yet
	replies   map[string]reply
	attempts  map[string]time.Duration // last call of a peer that is to confirm
	failures  map[string]int           // failed calls in a row
	unusable  []byte                   // digest of a peer's tree that was refused
	confirmAt uint64                   // epoch in which calls for confirmation started
	packed    packedTree
	stats     Stats
}

// Stats are what the exchange has cost since the start. Bytes are those of the
// encoded messages, without the framing of the connection and without trees.
type Stats struct {
	Started, Failed, Served   uint64 // exchanges
	BytesSent, BytesReceived  uint64
	TreesFetched, TreesServed uint64
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// pull asks Run to fetch the tree of a peer.
type pull struct {
	address string
	version uint64
}

// New returns a table that knows only its own instance.
func New(o Options) *Table {
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = DefaultBytesPerSecond
	}
	if o.MaxTreeBytes == 0 {
		o.MaxTreeBytes = DefaultMaxTreeBytes
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	t := &Table{
		o:             o,
		notices:       make(chan struct{}, 1),
		pulls:         make(chan pull, 16),
		fetchCallers:  make(chan struct{}, maxFetches),
		fetchRepliers: make(chan struct{}, maxFetches),
		calls:         make(chan struct{}, maxCalls),
		random:        rand.New(rand.NewPCG(o.Seed, o.Self.Incarnation)),
		self:          proto.CloneOf(o.Self),
		records:       map[uint64]*record{}, replies: map[string]reply{},
		attempts: map[string]time.Duration{}, failures: map[string]int{},
		budget: budget{rate: o.BytesPerSecond},
	}
	if t.self.Phase == peerpb.Phase_PHASE_UNSPECIFIED {
		t.self.Phase = peerpb.Phase_PHASE_STARTING
	}
	o.Store.Subscribe(func(*dynamic.Tree) { t.Notify() })
	return t
}

func (t *Table) now() time.Duration { return t.o.Clock.Read().Mono }

// Notify sends what the Source has to three random peers at once instead of
// waiting for the next round. The gateway calls it where a backend server
// starts to drain or a request is quarantined, also where it learns of that
// from a peer, so that it spreads in a logarithmic number of steps.
func (t *Table) Notify() {
	select {
	case t.notices <- struct{}{}:
	default:
	}
}

// Header returns the header of a message to a peer.
func (t *Table) Header() *peerpb.Header { return t.header() }

func (t *Table) header() *peerpb.Header {
	s := t.o.Store.State()
	h := &peerpb.Header{Instance: t.o.Self.Instance, Incarnation: t.o.Self.Incarnation, Confirmed: s.Confirmed}
	if s.Tree != nil {
		h.Version, h.Digest = s.Tree.Version, s.Tree.Digest[:]
	}
	return h
}

// ownRecord returns a copy of the own record with the version in force. The
// instance is stated as ready once it was confirmed.
func (t *Table) ownRecord() *peerpb.Member {
	s := t.o.Store.State()
	if s.Confirmed && t.self.Phase == peerpb.Phase_PHASE_STARTING {
		t.self.Phase = peerpb.Phase_PHASE_READY
	}
	if s.Tree != nil {
		t.self.Version, t.self.VersionSinceUnixMs = s.Tree.Version, s.Since.UnixMilli()
	}
	return proto.CloneOf(t.self)
}

// SetPhase states the phase of this instance and sends it to three peers.
func (t *Table) SetPhase(p peerpb.Phase) {
	t.setSelf(func(m *peerpb.Member) { m.Phase = p })
}

// SetSuccessor states who took over the ledger of this incarnation and sends
// it to three peers.
func (t *Table) SetSuccessor(address string) {
	t.setSelf(func(m *peerpb.Member) { m.Successor = address })
}

func (t *Table) setSelf(change func(*peerpb.Member)) {
	t.mu.Lock()
	change(t.self)
	t.self.Counter++
	t.mu.Unlock()
	t.Notify()
}

// SetSeeds replaces the seeds.
func (t *Table) SetSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Seeds = slices.Clone(seeds)
}

// SetInstances replaces what the instance list says about other entries.
func (t *Table) SetInstances(list []platform.Instance) {
	entries := map[string]platform.Instance{}
	for _, i := range list {
		if i.Kind == platform.KindEntry && i.Address != t.o.Self.Address && i.Name != t.o.Self.Instance {
			entries[i.Address] = i
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = entries
}

// HandleExchange serves a peer's Exchange.
func (t *Table) HandleExchange(in *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	sender := t.sender(in)
	s := t.readSource()
	t.mergeSource(in.Drains, in.Quarantines)
	t.mu.Lock()
	t.stats.Served++
	t.stats.BytesReceived += uint64(proto.Size(in))
	now := t.now()
	_, met := t.records[in.GetHeader().GetIncarnation()]
	t.merge(now, in.Members)
	out := t.compose(now, s, false, !met)
	t.mu.Unlock()
	if sender != nil && t.wanted(in.Header, sender.Address) {
		select {
		case t.pulls <- pull{sender.Address, in.Header.Version}:
		default: // the sender states its version again in the next round
		}
	}
	return &peerpb.ExchangeResponse{
		Header: out.Header, Members: out.Members, Drains: out.Drains, Quarantines: out.Quarantines,
	}
}

// sender returns the sender's own record, which is part of every message.
func (t *Table) sender(in *peerpb.ExchangeRequest) *peerpb.Member {
	for _, m := range in.Members {
		if m.Incarnation == in.GetHeader().GetIncarnation() && m.Address != "" {
			return m
		}
	}
	return nil
}

func (t *Table) mergeSource(d []*peerpb.DrainMark, q []*peerpb.Quarantine) {
	if t.o.Source != nil && len(d)+len(q) > 0 {
		t.o.Source.Merge(d, q)
	}
}

// wanted reports whether the peer has a higher version that is worth fetching.
// It reports a conflict as a side effect.
func (t *Table) wanted(h *peerpb.Header, address string) bool {
	order, ok := t.o.Store.Matches(h.GetVersion(), h.GetDigest(), "peer "+address)
	t.mu.Lock()
	defer t.mu.Unlock()
	return ok && order > 0 && string(t.unusable) != string(h.GetDigest())
}

// HandleTree serves a peer's Tree call.
func (t *Table) HandleTree(in *peerpb.TreeRequest) *peerpb.TreeResponse {
	out := &peerpb.TreeResponse{Header: t.header()}
	if tree := t.o.Store.Current(); tree != nil && tree.Version >= in.MinVersion {
		t.mu.Lock()
		defer t.mu.Unlock()
		out.Tree = t.packed.of(tree)
		t.stats.TreesServed++
	}
	return out
}

// Run exchanges with peers until the context ends.
func (t *Table) Run(ctx context.Context) {
	defer t.wg.Wait()
	ticker := time.NewTicker(confirmRound)
	defer ticker.Stop()
	gap := time.NewTimer(noticeGap)
	defer gap.Stop()
	pending, noticed := false, -noticeGap
	next := t.now() + time.Duration(t.pick(int(round)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.notices:
			pending = true
		case <-gap.C:
		case p := <-t.pulls:
			t.wg.Go(func() { t.fetch(ctx, t.fetchCallers, p.address, p.version) })
		case <-ticker.C:
			if t.now() >= next {
				next = t.now() + round
				t.round(ctx)
			}
			for _, address := range t.unanswered() {
				if t.start(ctx, address, true, confirmTimeout) {
					t.attempted(address)
				}
			}
			t.confirmWithoutPeer()
		}
		if now := t.now(); pending && now-noticed >= noticeGap {
			pending, noticed = false, now
			for _, address := range t.choose(noticePeers) {
				t.start(ctx, address, true, exchangeTimeout)
			}
		} else if pending {
			gap.Reset(noticeGap - (now - noticed))
		}
	}
}

func (t *Table) pick(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

func (t *Table) round(ctx context.Context) {
	t.mu.Lock()
	t.rounds++
	t.self.Counter++
	t.prune(t.now())
	own := t.rounds%otherDomainEvery != 0
	t.mu.Unlock()
	if address := t.choosePeer(own); address != "" {
		t.start(ctx, address, false, exchangeTimeout)
	}
}

// start begins an exchange and reports whether it did; it does not where too
// many calls are under way.
func (t *Table) start(ctx context.Context, address string, small bool, timeout time.Duration) bool {
	select {
	case t.calls <- struct{}{}:
	default:
		return false
	}
	t.wg.Go(func() {
		defer func() { <-t.calls }()
		t.exchange(ctx, address, small, timeout)
	})
	return true
}

// Announce sends the own record to three peers and waits for their replies.
// An instance calls it before it exits, so that its phase and successor are
// known.
func (t *Table) Announce(ctx context.Context) {
	var wg sync.WaitGroup
	for _, address := range t.choose(noticePeers) {
		wg.Go(func() { t.exchange(ctx, address, true, exchangeTimeout) })
	}
	wg.Wait()
}

func (t *Table) exchange(ctx context.Context, address string, small bool, timeout time.Duration) {
	epoch := t.o.Store.Epoch()
	s := t.readSource()
	t.mu.Lock()
	t.stats.Started++
	in := t.compose(t.now(), s, small, false)
	t.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := t.o.Client.Exchange(callCtx, address, in)
	t.mu.Lock()
	if err != nil {
		t.failures[address]++
		t.stats.Failed++
		t.mu.Unlock()
		return
	}
	delete(t.failures, address)
	t.stats.BytesReceived += uint64(proto.Size(out))
	now := t.now()
	t.merge(now, out.Members)
	t.met(address, out.GetHeader().GetIncarnation())
	t.mu.Unlock()
	t.mergeSource(out.Drains, out.Quarantines)
	if t.wanted(out.Header, address) {
		t.fetch(ctx, t.fetchRepliers, address, out.Header.Version)
	}
	t.answered(epoch, address, out.Header)
}

// fetch takes the tree of a peer that stated a higher version.
func (t *Table) fetch(ctx context.Context, slots chan struct{}, address string, version uint64) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	if t.o.Store.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, treeTimeout)
	defer cancel()
	out, err := t.o.Client.Tree(ctx, address, &peerpb.TreeRequest{Header: t.header(), MinVersion: version})
	var text []byte
	if err == nil {
		text, err = unpack(out.Tree, t.o.MaxTreeBytes)
	}
	if err != nil {
		t.o.Recorder.Record(eventTreeFetch, events.F("address", address), events.F("version", version), events.F("error", err.Error()))
		return
	}
	result := t.o.Store.Offer(text, "peer "+address)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.TreesFetched++
	if result == settings.Invalid {
		t.unusable = out.GetHeader().GetDigest()
	}
}
