package feed

import (
	"context"
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
	// packetBytes is the unit in which transfers share a link.
	packetBytes = 16 << 10
)

// link is one direction of an entry's network link; transfers in progress share
// its bandwidth. A nil link has unlimited bandwidth.
type link struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
}

// transfer waits until n bytes have passed the link.
func (l *link) transfer(ctx context.Context, n int) error {
	for l != nil && n > 0 {
		packet := min(n, packetBytes)
		n -= packet
		if !sleep(ctx, l.reserve(packet)) {
			return ctx.Err()
		}
	}
	return nil
}

// reserve queues n bytes and returns the time until they have passed.
func (l *link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return time.Until(l.freeAt)
}

// links are both directions of an entry's network link.
type links struct{ up, down *link }

func newLinks(bytesPerSecond float64) links {
	return links{&link{bytesPerSecond: bytesPerSecond}, &link{bytesPerSecond: bytesPerSecond}}
}

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
