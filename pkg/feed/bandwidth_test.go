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

// treeChanges describes a settings tree that changes while backend servers leave.
type treeChanges struct {
	treeBytes     int
	treeInterval  time.Duration // between two versions
	leaveInterval time.Duration // between two backend servers that leave
	span          time.Duration
}

// servers returns the number of backend servers that leave.
func (c treeChanges) servers() int { return int(c.span / c.leaveInterval) }

// versions returns the number of versions of the settings tree.
func (c treeChanges) versions() int { return int(c.span / c.treeInterval) }

// register registers the backend servers that will leave.
func (c treeChanges) register(store *fakeStore) {
	for i := range c.servers() {
		store.put(fmt.Sprintf("server/%d", i), "stock 1")
	}
}

// requireDeparturesInTime makes the changes and requires that all entries know
// propagationLimit later that a backend server has left.
func (c treeChanges) requireDeparturesInTime(t *testing.T, f *fleet) {
	var changes sync.WaitGroup
	changes.Go(func() {
		for version := range c.versions() {
			f.store.put("tree", strings.Repeat("0", c.treeBytes+version))
			time.Sleep(c.treeInterval)
		}
	})
	late := make([]int, c.servers())
	for i := range late {
		key := fmt.Sprintf("server/%d", i)
		f.store.remove(key)
		changes.Go(func() {
			time.Sleep(propagationLimit)
			late[i] = f.entriesListing(key)
		})
		time.Sleep(c.leaveInterval)
	}
	changes.Wait()
	require.Equal(t, make([]int, c.servers()), late, "entries that list a backend server %v after it has left", propagationLimit)
}

// Guards against requests to a backend server that has left, sent because new
// versions of a large settings tree delay the change of its registration on the
// links of small instances.
func TestLargeTreesDoNotDelayRegistrations(t *testing.T) {
	const entries = 36
	c := treeChanges{treeBytes: largeTreeBytes, treeInterval: 330 * time.Millisecond, leaveInterval: 700 * time.Millisecond, span: 8 * time.Second}
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		c.register(store)
		f := newFleetWithLinks(store, entries, smallLinkBytesPerSecond)
		defer f.close()
		time.Sleep(2 * failedRelayBackoff)
		require.NoError(t, f.checkConverged())
		c.requireDeparturesInTime(t, f)
		f.requireConverged(t)
	})
}
