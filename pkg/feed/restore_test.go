package feed

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// storeCopy is a copy of the content of a fakeStore.
type storeCopy struct {
	state    map[string]Change
	history  []Change
	revision uint64
}

// copy returns a copy of the current content.
func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.state), slices.Clone(s.history), s.revision}
}

// restore replaces the content by a copy. Its later revisions are given out again.
func (s *fakeStore) restore(c storeCopy) {
	s.locked(func() {
		s.state, s.history, s.revision = maps.Clone(c.state), slices.Clone(c.history), c.revision
	})
}

// waitForPollGap waits until an entry has ended a poll of the store.
func (f *fleet) waitForPollGap(entry int) {
	f.waitForPoll(entry)
	for f.isPolling(entry) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against entries that miss the changes which a restored store records under
// revisions that it has given out before.
func TestRestoredStoreGivesOutRevisionsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		defer f.close()
		for i := range 5 {
			f.store.put(fmt.Sprintf("server/%d", i), "stock 1")
		}
		f.store.put("tree", "1")
		saved := f.store.copy()
		time.Sleep(2 * failedRelayBackoff)
		for i := range 4 {
			f.store.put(fmt.Sprintf("server/lost-%d", i), "stock 1")
		}
		time.Sleep(propagationLimit)
		require.NoError(t, f.checkConverged())

		f.waitForPollGap(0)
		f.store.restore(saved)
		f.store.remove("server/0")
		f.store.put("tree", "12")
		for i := range 4 {
			f.store.put(fmt.Sprintf("server/new-%d", i), "stock 1")
		}
		time.Sleep(propagationLimit)
		require.NoError(t, f.checkConverged())
	})
}
