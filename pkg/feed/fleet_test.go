package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/events"
)

var errStoreUnavailable = errors.New("store unavailable")

// fakeStore is an in-memory Store with faults, in virtual time.
type fakeStore struct {
	mu              sync.Mutex
	state           map[string]Change
	history         []Change
	compacted       uint64
	revision        uint64
	era             uint64
	staleCopy       *storeCopy // what stale snapshots return; nil: the current content
	changed         chan struct{}
	unavailable     bool          // all calls but those of Tree fail
	refusesThird    bool          // pages and changes are refused to each third entry
	missesChanges   bool          // calls of Changes return no changes
	pageItems       int           // on one page
	pageDelay       time.Duration // of a reply with a page
	link            *link         // that replies with pages share
	calls           int           // of Changes, and of Page for the first page
	pageCalls       int           // of Page
	changesCalls    int           // calls of Changes
	treeCalls       int           // calls of Tree
	evacuationCalls int           // calls of Evacuations
	treeReads       int           // replies of any call but Page that hold a settings tree
	pings           int           // reachability checks
	unansweredPings int           // number of further pings that get no answer
}

func newFakeStore() *fakeStore {
	return &fakeStore{state: map[string]Change{}, revision: 1, era: 1, pageItems: 1000, changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) { s.change(Change{Key: key, Value: []byte(value)}) }

func (s *fakeStore) remove(key string) { s.change(Change{Key: key, Deleted: true}) }

func (s *fakeStore) change(c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.Revision = s.revision
	if c.Deleted {
		delete(s.state, c.Key)
	} else {
		s.state[c.Key] = c
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// locked calls f with s.mu held.
func (s *fakeStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// compact drops the history of changes.
func (s *fakeStore) compact() { s.locked(func() { s.history, s.compacted = nil, s.revision }) }

func (s *fakeStore) Page(ctx context.Context, after string, stale bool) (Page, error) {
	p, err := s.page(after, stale)
	if err == nil {
		err = s.link.transfer(ctx, valueBytes(p.Changes))
	}
	if !clock.Sleep(ctx, s.pageDelay) {
		err = ctx.Err()
	}
	return p, err
}

func (s *fakeStore) page(after string, stale bool) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		s.calls++
	}
	s.pageCalls++
	state, p := s.state, Page{At: Position{s.era, s.revision}}
	if c := s.staleCopy; stale && c != nil {
		state, p.At = c.state, Position{c.era, c.revision}
	}
	if s.unavailable {
		return Page{}, errStoreUnavailable
	}
	for _, key := range slices.Sorted(maps.Keys(state)) {
		if key <= after {
			continue
		}
		if len(p.Changes) == s.pageItems {
			p.HasMore = true
			break
		}
		p.Changes = append(p.Changes, state[key])
	}
	return p, nil
}

func (s *fakeStore) Changes(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	return s.changesOf(ctx, after, wait, Other)
}

// changesOf is Changes for the keys of one kind; for Other, all keys. It returns early
// with an empty list and the store's position if only other keys have changed.
func (s *fakeStore) changesOf(ctx context.Context, after Position, wait time.Duration, kind Kind) ([]Change, Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.locked(func() { s.calls++; s.changesCalls++ })
	for {
		s.mu.Lock()
		var out []Change
		for _, c := range s.history {
			if c.Revision > after.Revision && !s.missesChanges {
				out = append(out, c)
			}
		}
		unavailable, historyLost, revision, changed := s.unavailable, (after.Revision < s.compacted || after.Revision > s.revision) && !s.missesChanges, s.revision, s.changed
		era := s.era
		s.mu.Unlock()
		switch {
		case unavailable:
			return nil, Position{}, errStoreUnavailable
		case historyLost:
			return nil, Position{}, ErrHistoryLost
		case len(out) > 0 && era != after.Era:
			return nil, Position{}, ErrHistoryLost
		case len(out) > 0:
			if kind != Other {
				out = slices.DeleteFunc(out, func(c Change) bool { return (textStub{}).Kind(c.Key) != kind })
			}
			s.locked(func() { s.treeReads += treesIn(out) })
			return out, Position{era, revision}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if era != after.Era {
				return nil, Position{}, ErrHistoryLost
			}
			return nil, after, nil
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		}
	}
}

func (s *fakeStore) RegistrationChanges(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	end := time.Now().Add(wait)
	for {
		changes, next, err := s.changesOf(ctx, after, time.Until(end), Registration)
		if err != nil || len(changes) > 0 || !time.Now().Before(end) {
			return changes, next, err
		}
		after = next
	}
}

// Evacuations returns all keys of evacuations on one page.
func (s *fakeStore) Evacuations(context.Context, string) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuationCalls++
	if s.unavailable {
		return Page{}, errStoreUnavailable
	}
	p := Page{At: Position{s.era, s.revision}}
	for _, key := range slices.Sorted(maps.Keys(s.state)) {
		if (textStub{}).Kind(key) == Evacuation {
			p.Changes = append(p.Changes, s.state[key])
		}
	}
	return p, nil
}

func (s *fakeStore) Ping(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	s.pings++
	if s.unansweredPings > 0 {
		s.unansweredPings--
		s.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, errStoreUnavailable
	}
	return s.era, nil
}

func (s *fakeStore) Tree(context.Context) (uint64, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treeCalls++
	s.treeReads++
	return uint64(len(s.state["tree"].Value)), s.state["tree"].Value, nil
}

// treeValue returns the settings tree.
func (s *fakeStore) treeValue() []byte {
	return append(s.state["tree"].Value, s.state[firstTreeKey].Value...)
}

// treesIn returns 1 if changes hold a settings tree, else 0.
func treesIn(changes []Change) int {
	for _, c := range changes {
		if (textStub{}).Kind(c.Key) == Tree {
			return 1
		}
	}
	return 0
}

// fleet holds the readers of several entries of one failure domain.
type fleet struct {
	store        *fakeStore
	readers      []*Reader
	mu           sync.Mutex
	frozen       map[int]bool // entries that do not answer peers
	disconnected map[int]bool // entries that are disconnected from the store
	losesReply   map[int]bool // entries to which the next reply with changes is lost
	polling      map[int]bool // entries with a poll of the store in progress
	links        []links      // of the entries
	processors   []processor  // of the entries
	cancel       context.CancelFunc
	watchers     sync.WaitGroup
	lists        []map[string]bool // names in the latest instance list, by entry
	trees        []uint64          // version of the latest settings tree, by entry
	exchangeTime time.Duration     // after which a tree that one entry has decoded is in force at all; 0: there is no exchange
	exchanged    uint64            // version of the tree that the exchange has delivered to all entries
}

// fullStateCompression is how much smaller the full state is when package entry sends it.
const fullStateCompression = 5

// fleetPeers implements PeerClient. An address is the number of an entry. down is
// the link of the calling entry.
type fleetPeers struct {
	f    *fleet
	down *link
}

func (p fleetPeers) Changes(ctx context.Context, address string, request PeerRequest) (PeerReply, error) {
	var i int
	_, _ = fmt.Sscan(address, &i)
	p.f.mu.Lock()
	frozen := p.f.frozen[i]
	p.f.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return PeerReply{}, ctx.Err()
	}
	reply, err := p.f.readers[i].Serve(ctx, request)
	p.f.processors[i].run(0)
	size := valueBytes(reply.Changes)
	if request.After == (Position{}) {
		size /= fullStateCompression
	}
	if err == nil {
		err = p.f.links[i].up.transfer(ctx, size)
	}
	if err == nil {
		err = p.down.transfer(ctx, size)
	}
	return reply, err
}

// newFleet starts n entries, of which the first Readers read the store for the
// others.
func newFleet(n int) *fleet { return newFleetOn(newFakeStore(), n, false, rankByNumber) }

// runFleet runs a test of n entries in virtual time.
func runFleet(t *testing.T, n int, run func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(n)
		defer f.close()
		run(t, f)
	})
}

// newFleetOn starts n entries on a store. relays is Options.Relays of entry own.
func newFleetOn(store *fakeStore, n int, firstStart bool, relays func(own int, skip func(string) bool) ([]string, bool)) *fleet {
	return newFleetOf(store, make([]links, n), firstStart, relays)
}

// newFleetWithLinks starts n entries whose links have the given bandwidth.
func newFleetWithLinks(store *fakeStore, n int, bytesPerSecond float64) *fleet {
	all := make([]links, n)
	for i := range all {
		all[i] = newLinks(bytesPerSecond)
	}
	return newFleetOf(store, all, false, rankByNumber)
}

func newFleetOf(store *fakeStore, all []links, firstStart bool, relays func(own int, skip func(string) bool) ([]string, bool)) *fleet {
	return newFleetWith(store, all, firstStart, relays, func(processor) Translator { return textStub{} })
}

// newFleetOfSlowEntries starts entries that decode settings trees at the given rate.
func newFleetOfSlowEntries(store *fakeStore, all []links, decodeBytesPerSecond float64) *fleet {
	return newFleetWith(store, all, false, rankByNumber, func(p processor) Translator {
		return slowTranslator{processor: p, bytesPerSecond: decodeBytesPerSecond}
	})
}

// newFleetWith starts one entry for each element of all. translator returns the
// Translator of an entry with the given processor.
func newFleetWith(store *fakeStore, all []links, firstStart bool, relays func(own int, skip func(string) bool) ([]string, bool), translator func(processor) Translator) *fleet {
	n := len(all)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{store: store, frozen: map[int]bool{}, disconnected: map[int]bool{}, losesReply: map[int]bool{}, polling: map[int]bool{}, links: all, cancel: cancel, lists: make([]map[string]bool, n), trees: make([]uint64, n)}
	for range n {
		f.processors = append(f.processors, make(processor, 1))
	}
	for i := range n {
		f.readers = append(f.readers, NewReader(Options{
			Store: entryStore{f.store, f, i}, Translator: translator(f.processors[i]), Recorder: events.Discard{}, PeerClient: fleetPeers{f, all[i].down},
			Relays:    func(skip func(string) bool) ([]string, bool) { return relays(i, skip) },
			Instances: func() int { return n }, FirstStart: firstStart, TreeInForce: f.treeInForce,
			EvacuationBound: evacuationBound,
		}))
	}
	for i, r := range f.readers {
		f.watchers.Go(func() { f.watchList(ctx, i, r) })
		f.watchers.Go(func() { f.watchTree(ctx, i, r) })
	}
	return f
}

// rankByNumber implements Options.Relays for entry own: entries rank by their
// number.
func rankByNumber(own int, skip func(string) bool) (addresses []string, isReader bool) {
	rankedBefore := 0
	for i := range own {
		if a := fmt.Sprint(i); !skip(a) {
			rankedBefore++
			addresses = append(addresses, a)
		}
	}
	return addresses[:min(len(addresses), Readers)], rankedBefore < Readers
}

func (f *fleet) watchList(ctx context.Context, i int, r *Reader) {
	for after := uint64(0); ; {
		number, list, err := r.WatchInstances(ctx, after)
		if err != nil {
			return
		}
		names := map[string]bool{}
		for _, instance := range list {
			names[instance.Name] = true
		}
		f.mu.Lock()
		f.lists[i], after = names, number
		f.mu.Unlock()
	}
}

func (f *fleet) watchTree(ctx context.Context, i int, r *Reader) {
	for after := uint64(0); ; {
		version, _, err := r.WatchTree(ctx, after)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.trees[i], after = version, version
		f.mu.Unlock()
		if f.exchangeTime > 0 {
			f.watchers.Go(func() { f.deliver(ctx, version) })
		}
	}
}

// deliver delivers a version of the settings tree to all entries after the time that
// the exchange between entries takes.
func (f *fleet) deliver(ctx context.Context, version uint64) {
	if !clock.Sleep(ctx, f.exchangeTime) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanged = max(f.exchanged, version)
}

// treeInForce implements Options.TreeInForce for all entries.
func (f *fleet) treeInForce() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exchanged
}

func (f *fleet) close() {
	f.cancel()
	for _, r := range f.readers {
		r.Close()
	}
	f.watchers.Wait()
}

func (f *fleet) disconnect(entries ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range entries {
		f.disconnected[i] = true
	}
}

func (f *fleet) isDisconnected(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.disconnected[i]
}

// loseReply makes the store's next reply with changes to an entry get lost.
func (f *fleet) loseReply(entry int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losesReply[entry] = true
}

func (f *fleet) setPolling(entry int, isPolling bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polling[entry] = isPolling
}

func (f *fleet) isPolling(entry int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polling[entry]
}

// waitForPoll waits until an entry begins a poll of the store.
func (f *fleet) waitForPoll(entry int) {
	for _, polling := range []bool{false, true} {
		for f.isPolling(entry) != polling {
			time.Sleep(time.Millisecond)
		}
	}
}

// takeLostReply reports whether a reply to an entry is lost; the next one is not.
func (f *fleet) takeLostReply(entry int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.losesReply[entry]
	delete(f.losesReply, entry)
	return lost
}

func (f *fleet) setFrozen(i int, isFrozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[i] = isFrozen
}

// requireConverged fails the test unless every entry knows the content of the store after
// propagationLimit.
func (f *fleet) requireConverged(t *testing.T) {
	t.Helper()
	time.Sleep(propagationLimit)
	require.NoError(t, f.checkConverged())
}

// checkConverged returns an error unless every entry has the settings tree, the backend
// servers and the evacuations that the store holds.
func (f *fleet) checkConverged() error {
	want := map[string]bool{}
	for key := range f.store.state {
		switch (textStub{}).Kind(key) {
		case Registration:
			want[key] = true
		case Evacuation:
			want[(textStub{}).Evacuation(key)] = true
		default:
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.readers {
		if !maps.Equal(want, f.lists[i]) {
			return errors.Errorf("entry %d lists %v, the store has %v", i, f.lists[i], want)
		}
		if tree := uint64(len(f.store.treeValue())); f.trees[i] != tree {
			return errors.Errorf("entry %d has tree version %d, the store has %d", i, f.trees[i], tree)
		}
	}
	return nil
}

// entriesListing returns the number of entries whose instance list contains key.
func (f *fleet) entriesListing(key string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, list := range f.lists {
		if list[key] {
			n++
		}
	}
	return n
}

// storeReplyMargin is the time after the end of a wait at which a poll of the store
// has failed, as in package platform.
const storeReplyMargin = 500 * time.Millisecond

// entryStore is one entry's connection to the store; calls but those of Tree hang
// while the entry is disconnected.
type entryStore struct {
	*fakeStore
	f     *fleet
	entry int
}

func (s entryStore) hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (s entryStore) Page(ctx context.Context, after string, stale bool) (Page, error) {
	if s.f.isDisconnected(s.entry) {
		return Page{}, s.hang(ctx)
	}
	if s.refusesThird && s.entry%3 == 1 {
		return Page{}, errStoreUnavailable
	}
	return s.fakeStore.Page(ctx, after, stale)
}

func (s entryStore) Evacuations(ctx context.Context, after string) (Page, error) {
	if s.f.isDisconnected(s.entry) {
		return Page{}, s.hang(ctx)
	}
	if s.refusesThird && s.entry%3 == 1 {
		return Page{}, errStoreUnavailable
	}
	return s.fakeStore.Evacuations(ctx, after)
}

func (s entryStore) Ping(ctx context.Context) (uint64, error) {
	if s.f.isDisconnected(s.entry) {
		return 0, s.hang(ctx)
	}
	return s.fakeStore.Ping(ctx)
}

func (s entryStore) Changes(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	return s.poll(ctx, after, wait, s.fakeStore.Changes)
}

func (s entryStore) RegistrationChanges(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	return s.poll(ctx, after, wait, s.fakeStore.RegistrationChanges)
}

func (s entryStore) poll(ctx context.Context, after Position, wait time.Duration, changesOf func(context.Context, Position, time.Duration) ([]Change, Position, error)) ([]Change, Position, error) {
	s.f.setPolling(s.entry, true)
	defer s.f.setPolling(s.entry, false)
	pollCtx, cancel := context.WithTimeout(ctx, wait+storeReplyMargin)
	defer cancel()
	if s.refusesThird && s.entry%3 == 1 {
		return nil, Position{}, errStoreUnavailable
	}
	changes, next, err := changesOf(ctx, after, wait)
	if s.f.isDisconnected(s.entry) {
		return nil, Position{}, s.hang(ctx)
	}
	if len(changes) > 0 && s.f.takeLostReply(s.entry) {
		return nil, Position{}, s.hang(pollCtx)
	}
	if err == nil {
		err = s.f.links[s.entry].down.transfer(ctx, valueBytes(changes))
	}
	return changes, next, err
}

func (s entryStore) Tree(ctx context.Context) (uint64, []byte, error) {
	version, text, err := s.fakeStore.Tree(ctx)
	if err == nil {
		err = s.f.links[s.entry].down.transfer(ctx, len(text))
	}
	return version, text, err
}
