package feed

import (
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
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1)
				defer f.close()
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
	relayed := r.applyTrees([]Change{
		{Key: "tree", Value: []byte("0"), Revision: 1},
		{Key: "server/a", Value: []byte("stock 1"), Revision: 2},
		{Key: "tree", Value: []byte("00"), Revision: 3},
	})
	require.Equal(t, []Change{{Key: "server/a", Value: []byte("stock 1"), Revision: 2}, {Key: "tree", Value: []byte("00"), Revision: 3}}, relayed)
	require.EqualValues(t, 2, r.version)
}
