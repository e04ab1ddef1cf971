package feed

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// smallLinkBytesPerSecond is the bandwidth of the smallest instances, 10 Mbit/s.
	smallLinkBytesPerSecond = 10e6 / 8
	// largeTreeBytes is the size of a configuration with 1,400 routes.
	largeTreeBytes = 250_000
)

// Guards against requests to a backend server that has left, sent because new
// versions of a large settings tree delay the change of its registration on the
// links of small instances.
func TestLargeTreesDoNotDelayRegistrations(t *testing.T) {
	const (
		entries       = 36
		treeInterval  = 330 * time.Millisecond
		leaveInterval = 700 * time.Millisecond
		span          = 8 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		servers := int(span / leaveInterval)
		for i := range servers {
			store.put(fmt.Sprintf("server/%d", i), "stock 1")
		}
		f := newFleetWithLinks(store, entries, smallLinkBytesPerSecond)
		defer f.close()
		time.Sleep(2 * failedRelayBackoff)
		require.NoError(t, f.checkConverged())

		var changes sync.WaitGroup
		changes.Go(func() {
			for version := range int(span / treeInterval) {
				store.put("tree", strings.Repeat("0", largeTreeBytes+version))
				time.Sleep(treeInterval)
			}
		})
		late := make([]int, servers)
		for i := range servers {
			key := fmt.Sprintf("server/%d", i)
			store.remove(key)
			changes.Go(func() {
				time.Sleep(propagationLimit)
				late[i] = f.entriesListing(key)
			})
			time.Sleep(leaveInterval)
		}
		changes.Wait()
		require.Equal(t, make([]int, servers), late, "entries that list a backend server %v after it has left", propagationLimit)
		time.Sleep(propagationLimit)
		require.NoError(t, f.checkConverged())
	})
}
