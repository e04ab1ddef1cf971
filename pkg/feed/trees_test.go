package feed

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
)

// Guards against an entry that does not obtain a settings tree whose value its
// relay leaves out, and against one that reads it from the store although a peer
// has delivered it.
func TestAnnouncedTree(t *testing.T) {
	for _, tc := range []struct {
		desc      string
		delivered bool // a peer delivers the tree in time
		wantCalls int
	}{
		{"the tree is read from the store if no peer delivers it", false, 1},
		{"the tree is not read from the store if a peer delivers it", true, 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *fleet) {
				var inForce atomic.Uint64
				follower := NewReader(Options{
					Store: f.store, Translator: textStub{}, Recorder: events.Discard{}, PeerClient: fleetPeers{f: f},
					Relays:      func(skip func(string) bool) ([]string, bool) { return rankByNumber(1, skip) },
					TreeInForce: inForce.Load,
				})
				defer follower.Close()
				_, _, err := follower.WatchInstances(t.Context(), 0)
				require.NoError(t, err)
				time.Sleep(2 * failedRelayBackoff) // the backoff from a relay that was not ready at the start has ended
				f.store.put("tree", strings.Repeat("0", largeTreeBytes))
				if tc.delivered {
					inForce.Store(largeTreeBytes)
				}
				time.Sleep(propagationLimit)
				f.store.locked(func() { require.Equal(t, tc.wantCalls, f.store.treeCalls) })
				follower.mu.Lock()
				defer follower.mu.Unlock()
				require.EqualValues(t, largeTreeBytes*tc.wantCalls, follower.version)
			})
		})
	}
}

// Guards against a log that serves every version of a settings tree that the store
// has returned in one reply.
func TestSupersededTreesAreNotRelayed(t *testing.T) {
	r := NewReader(Options{Translator: textStub{}, Recorder: events.Discard{}})
	rest := r.takeTree([]Change{
		{Key: "tree", Value: []byte("0"), Revision: 1},
		{Key: "server/a", Value: []byte("stock 1"), Revision: 2},
		{Key: "tree", Value: []byte("00"), Revision: 3},
	})
	require.Equal(t, []Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 2}}, rest)
	r.log.add(rest, Position{Revision: 3}, Position{Revision: 3})
	r.log.recordAnswer(time.Now())
	r.applyTree(*r.receivedTree)
	require.EqualValues(t, 2, r.version)
	for _, tt := range []struct {
		desc        string
		unknownTree uint64
		want        []Change
	}{
		{"the newest tree alone", 1, []Change{{Key: "tree", Value: []byte("00"), Revision: 3}, {Key: "server/a", Value: []byte("stock 1"), Revision: 2}}},
		{"the peer knows the tree", 3, []Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 2}}},
		{"the peer does not state what it knows", 0, []Change{{Key: "tree", Value: []byte("00"), Revision: 3}, {Key: "server/a", Value: []byte("stock 1"), Revision: 2}}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			got, err := r.Serve(t.Context(), PeerRequest{UnknownTree: tt.unknownTree})
			require.NoError(t, err)
			require.Equal(t, tt.want, got.Changes)
		})
	}
}

// Guards against a peer of a build up to b3111bb that never gets a settings tree from its
// relay: it states no tree that it knows, and takes the tree for a change like others. In
// an upgrade it went on with the configuration that it had.
func TestRelayServesOlderBuilds(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		value string
		want  Change // without key and revision
	}{
		{"small tree", "00", Change{Value: []byte("00")}},
		{"large tree", strings.Repeat("0", largeTreeBytes), Change{TreeVersion: largeTreeBytes}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			r := NewReader(Options{Translator: textStub{}, Recorder: events.Discard{}})
			at := func(revision uint64) Position { return Position{Era: 1, Revision: revision} }
			changes := []Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 2}, {Key: "tree", Value: []byte(tt.value), Revision: 5}, {Key: "server/b", Value: []byte("stock 1"), Revision: 7}}
			tree := tt.want
			tree.Key, tree.Revision = "tree", 5
			serve := func(after Position) PeerReply {
				reply, err := r.Serve(t.Context(), PeerRequest{After: after})
				require.NoError(t, err)
				return reply
			}
			r.log.add(r.takeTree(changes), at(8), at(8))
			r.log.recordAnswer(time.Now())
			require.Equal(t, PeerReply{Changes: changes[:1], At: at(4), TreesAt: at(4)}, serve(at(1)), "the tree is being decoded: what follows it would move the peer past it")
			require.Equal(t, PeerReply{At: at(4), TreesAt: at(4)}, serve(at(4)))
			r.applyTree(*r.receivedTree)
			require.Equal(t, PeerReply{Changes: []Change{tree, changes[2]}, At: at(8), TreesAt: at(8)}, serve(at(4)))
			require.Equal(t, PeerReply{At: at(8), TreesAt: at(8)}, serve(at(8)))
			require.ElementsMatch(t, []Change{tree, changes[0], changes[2]}, serve(Position{}).Changes, "the full state")
		})
	}
}

// Guards against a peer that takes a settings tree which its relay is still decoding for
// known: if the relay then fails, the peer would never read that tree.
func TestRelayStatesPositionOfDecodedTrees(t *testing.T) {
	r := NewReader(Options{Translator: textStub{}, Recorder: events.Discard{}})
	at := Position{Era: 1, Revision: 8}
	r.log.add(r.takeTree([]Change{{Key: "tree", Value: []byte("0"), Revision: 5}}), at, at)
	r.log.recordAnswer(time.Now())
	reply, err := r.Serve(t.Context(), PeerRequest{After: Position{Era: 1, Revision: 1}, UnknownTree: 1})
	require.NoError(t, err)
	require.Equal(t, PeerReply{At: at, TreesAt: Position{Era: 1, Revision: 4}}, reply)
	r.applyTree(*r.receivedTree)
	reply, err = r.Serve(t.Context(), PeerRequest{After: Position{Era: 1, Revision: 1}, UnknownTree: 1})
	require.NoError(t, err)
	require.Equal(t, at, reply.TreesAt)
	require.Len(t, reply.Changes, 1)
}

// heldUpStore is a store whose replies to polls do not end while isHeldUp is set.
type heldUpStore struct {
	*fakeStore
	isHeldUp atomic.Bool
	notify   func()
}

// NotifyHeldUp implements HeldUpNotifier.
func (s *heldUpStore) NotifyHeldUp(f func()) { s.notify = f }

func (s *heldUpStore) Changes(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	if !s.isHeldUp.Load() {
		return s.fakeStore.Changes(ctx, after, wait)
	}
	s.notify()
	<-ctx.Done()
	return nil, Position{}, ctx.Err()
}

// Guards against a settings tree that waits until a reply with large values of another
// writer ends.
func TestTreeWhileRepliesAreHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &heldUpStore{fakeStore: newFakeStore()}
		store.put("tree", "0")
		reader := NewReader(Options{Store: store, Translator: textStub{}, Recorder: events.Discard{}})
		defer reader.Close()
		_, _, err := reader.WatchTree(t.Context(), 0)
		require.NoError(t, err)
		store.isHeldUp.Store(true)
		time.Sleep(propagationLimit) // the next poll is held up
		for version := 2; version < 5; version++ {
			store.put("tree", strings.Repeat("0", version))
			time.Sleep(propagationLimit)
			reader.mu.Lock()
			published := reader.version
			reader.mu.Unlock()
			require.EqualValues(t, version, published)
			store.notify() // by the reply in progress
		}
	})
}
