package feed

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeCopy is a copy of the content of a fakeStore.
type storeCopy struct {
	state    map[string]Change
	history  []Change
	revision uint64
	era      uint64
}

// copy returns a copy of the current content.
func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.state), slices.Clone(s.history), s.revision, s.era}
}

// restore replaces the content by a copy and begins a new era. Its later revisions are
// given out again.
func (s *fakeStore) restore(c storeCopy) {
	s.locked(func() {
		s.era++
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
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		for i := range 5 {
			f.store.put(fmt.Sprintf("server/%d", i), "stock 1")
		}
		f.store.put("tree", "1")
		saved := f.store.copy()
		time.Sleep(2 * failedRelayBackoff)
		for i := range 4 {
			f.store.put(fmt.Sprintf("server/lost-%d", i), "stock 1")
		}
		f.requireConverged(t)

		f.waitForPollGap(0)
		f.store.restore(saved)
		f.store.remove("server/0")
		f.store.put("tree", "12")
		for i := range 4 {
			f.store.put(fmt.Sprintf("server/new-%d", i), "stock 1")
		}
		f.requireConverged(t)
	})
}

// Guards against state of an earlier era that an entry takes for the current one: a
// stale snapshot, the log of a relay, or a poll that waits for a revision which the
// restored store has not reached.
func TestStateOfAnEarlierEra(t *testing.T) {
	for _, tt := range []struct {
		desc   string
		before func(f *fleet)                 // right before the restoration
		after  func(f *fleet, old *storeCopy) // right after the restoration and the writes that follow it
	}{
		{"stale snapshots", func(*fleet) {}, func(f *fleet, old *storeCopy) {
			f.store.locked(func() { f.store.staleCopy = old })
		}},
		{"history lost", func(*fleet) {}, func(f *fleet, old *storeCopy) {
			f.store.compact()
			f.store.locked(func() { f.store.staleCopy = old })
		}},
		{"relay disconnected", func(f *fleet) { f.disconnect(0) }, func(*fleet, *storeCopy) {}},
		{"relay frozen", func(f *fleet) { f.setFrozen(0, true) }, func(*fleet, *storeCopy) {}},
		{"poll in progress", func(f *fleet) { f.waitForPoll(0) }, func(*fleet, *storeCopy) {}},
		{"poll ended", func(f *fleet) { f.waitForPollGap(0) }, func(*fleet, *storeCopy) {}},
		{"restored twice", func(f *fleet) { f.waitForPollGap(0) }, func(f *fleet, old *storeCopy) {
			c := f.store.copy()
			f.store.put("server/x", "stock 1")
			f.store.restore(c)
			f.store.put("server/y", "stock 1")
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runFleet(t, 6, func(t *testing.T, f *fleet) {
				for i := range 6 {
					f.store.put(fmt.Sprintf("server/%d", i), "stock 1")
				}
				f.store.put("tree", "1")
				saved := f.store.copy()
				time.Sleep(2 * failedRelayBackoff)
				f.store.put("server/lost", "stock 1")
				f.requireConverged(t)

				old := f.store.copy()
				tt.before(f)
				f.store.restore(saved)
				f.store.remove("server/0")
				f.store.put("tree", "12")
				tt.after(f, &old)
				time.Sleep(propagationLimit + relayPollWait)
				want := f.store.copy()
				f.mu.Lock()
				defer f.mu.Unlock()
				for i := 1; i < len(f.readers); i++ {
					require.EqualValues(t, 2, f.trees[i], "entry %d", i)
					for key := range want.state {
						require.True(t, f.lists[i][key] || key == "tree", "entry %d lacks %s", i, key)
					}
					require.Len(t, f.lists[i], len(want.state)-1, "entry %d", i)
				}
			})
		})
	}
}

// Guards against requests to a backend server that had left when the store was
// restored from a copy that still lists it, and against one that stays unlisted
// although it is alive.
func TestDepartedBackendServersInARestoredStore(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		after   func(s *fakeStore) // writes after the restoration
		listed  bool               // half of withholdTime later
		finally bool               // after withholdTime
	}{
		{"nothing is written again", func(*fakeStore) {}, false, true},
		{"it is deregistered again", func(s *fakeStore) { s.remove("server/0") }, false, false},
		{"it is registered again", func(s *fakeStore) { s.put("server/0", "stock 1") }, true, true},
		{"it has started again", func(s *fakeStore) { s.put("server/0", "stock 2") }, true, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runFleet(t, 4, func(t *testing.T, f *fleet) {
				for i := range 4 {
					f.store.put(fmt.Sprintf("server/%d", i), "stock 1")
				}
				time.Sleep(2 * failedRelayBackoff)
				saved := f.store.copy()
				f.store.remove("server/0")
				time.Sleep(propagationLimit)
				require.Zero(t, f.entriesListing("server/0"))

				f.waitForPollGap(0)
				f.store.restore(saved)
				f.store.put("server/1", "stock 1")
				time.Sleep(propagationLimit)
				tt.after(f.store)
				time.Sleep(propagationLimit)
				check := func(listed bool) {
					if listed {
						require.Equal(t, 4, f.entriesListing("server/0"))
					} else {
						require.Zero(t, f.entriesListing("server/0"))
					}
				}
				check(tt.listed)
				time.Sleep(withholdTime)
				check(tt.finally)
			})
		})
	}
}

// Guards against a restored store that is noticed only at the end of a poll, which
// waits for a change after a revision that was given out again.
func TestRestoredStoreIsNoticedByPings(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		f.store.put("server/0", "stock 1")
		f.store.put("server/1", "stock 1")
		saved := f.store.copy()
		time.Sleep(2 * failedRelayBackoff)
		f.store.put("server/lost", "stock 1")
		time.Sleep(propagationLimit)
		f.waitForPollGap(0)
		f.store.restore(saved)
		f.store.remove("server/0")
		time.Sleep(pingInterval + 100*time.Millisecond)
		require.NoError(t, f.checkConverged())
	})
}

// Guards against entries that all read a restored store instead of taking the state of
// the new era, whose revisions are lower, from their relay.
func TestRestoredStoreIsReadOnce(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		f.store.put("server/0", "stock 1")
		saved := f.store.copy()
		time.Sleep(2 * failedRelayBackoff)
		for i := range 10 {
			f.store.put(fmt.Sprintf("server/lost-%d", i), "stock 1")
		}
		time.Sleep(propagationLimit)
		f.store.locked(func() { f.store.calls = 0 })
		f.store.restore(saved)
		f.store.put("server/1", "stock 1")
		const span = 10 * time.Second
		time.Sleep(span)
		require.NoError(t, f.checkConverged())
		f.store.locked(func() {
			// The calls with which a reader starts over come in addition to its polls.
			require.LessOrEqual(t, f.store.calls, Readers*(int(span/(storePollWait/2+storePollGap))+1+5))
		})
	})
}

// Guards against a relay that serves changes to an entry in another era of the store.
func TestRelayServesItsEraOnly(t *testing.T) {
	now := time.Now()
	var l changeLog
	l.reset(Position{})
	l.replace(map[string]Change{"server/0": {Key: "server/0", Revision: 5}}, Position{Era: 2, Revision: 5}, Position{Era: 2, Revision: 5}, now)
	for _, tt := range []struct {
		desc  string
		after Position
		want  error
	}{
		{"everything", Position{}, nil},
		{"same era", Position{Era: 2, Revision: 5}, nil},
		{"earlier era", Position{Era: 1, Revision: 5}, ErrHistoryLost},
		{"later era", Position{Era: 3, Revision: 5}, ErrNotReader},
		{"era not stated, by an earlier build", Position{Revision: 5}, nil},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			_, _, err := l.changesAfter(PeerRequest{After: tt.after}, now)
			require.ErrorIs(t, err, tt.want)
		})
	}
}

// Guards against registrations of an earlier era whose higher revisions hide the
// changes of the new one, against departed backend servers that another snapshot of the
// new era lists, and against ones that are withheld although they have registered again.
func TestRegistrationsInANewEra(t *testing.T) {
	now := time.Now()
	snapshot := func(revision uint64, keys ...string) map[string]Change {
		out := map[string]Change{}
		for _, key := range keys {
			out[key] = Change{Key: key, Value: []byte("stock 1"), Revision: revision}
		}
		return out
	}
	all := []string{"server/a", "server/b", "server/c"}
	for _, tt := range []struct {
		desc string
		run  func(l *registrations)
		want []string
	}{
		{"a held one registers again", func(l *registrations) {
			l.beginEra(snapshot(1, "server/a"), now)
			l.replace(snapshot(1, "server/a"), now, true)
			l.apply([]Change{{Key: "server/b", Value: []byte("stock 1"), Revision: 2}}, now, false)
			l.endHolds(now.Add(expiredHoldTime))
		}, []string{"a", "b"}},
		{"the history is lost after the restoration", func(l *registrations) {
			l.apply(deletions(101, "server/a"), now, false)
			l.beginEra(snapshot(1, all...), now)
			l.replace(snapshot(1, all...), now, false)
			l.replace(snapshot(1, all...), now, false)
		}, []string{"b", "c"}},
		{"a departed one registers again before a second restoration", func(l *registrations) {
			l.apply(deletions(101, "server/a"), now, false)
			l.replace(snapshot(102, all...), now, false)
			l.beginEra(snapshot(1, all...), now)
			l.replace(snapshot(1, all...), now, false)
		}, []string{"a", "b", "c"}},
		{"a held one does not register again", func(l *registrations) {
			l.apply(deletions(101, all...), now, true)
			l.endHolds(now.Add(expiredHoldTime))
			l.beginEra(snapshot(1, all...), now.Add(expiredHoldTime))
			l.replace(snapshot(1, all...), now.Add(expiredHoldTime), false)
		}, nil},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			l := newTestRegistrations()
			l.replace(snapshot(100, all...), now, false)
			tt.run(l)
			require.Equal(t, tt.want, l.serverNames(now))
		})
	}
}
