package feed

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/events"
)

// propagationLimit is the time within which an entry must know a change while the
// store is available and reachable for the entry or one of its relays.
const propagationLimit = 2 * time.Second

// Guards against a change that an entry learns of too late because the relay that
// it polls is frozen.
func TestFrozenRelay(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		time.Sleep(10 * time.Second)
		require.NoError(t, f.checkConverged())
		f.setFrozen(0, true)
		f.setFrozen(1, true)
		f.store.put("server/b", "stock 1")
		f.store.put("tree", "1")
		f.requireConverged(t)
	})
}

// Guards against entries that keep polling relays which are cut off from the store
// and have not noticed it yet. In a randomized test run (scale-2 of kbs-gateway,
// seed 763735486187) requests were sent to a backend server 2016 ms after it had
// started to leave.
func TestRelaysCutOffFromTheStore(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		f.store.put("server/b", "stock 1")
		f.store.put("tree", "1")
		time.Sleep(2 * failedRelayBackoff)
		require.NoError(t, f.checkConverged())
		f.disconnect(0, 1)
		f.store.remove("server/a")
		time.Sleep(propagationLimit)
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := 2; i < len(f.readers); i++ {
			require.Equal(t, map[string]bool{"server/b": true}, f.lists[i], "entry %d", i)
		}
	})
}

// Guards against requests to a backend server that has left, sent because the reply
// that reports it to the relay is lost: the relay still reaches the store by its
// pings, and its peers go on polling it.
func TestLostReplyToRelay(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		f.store.put("server/b", "stock 1")
		time.Sleep(2 * failedRelayBackoff)
		require.NoError(t, f.checkConverged())
		f.waitForPoll(0)
		f.loseReply(0)
		f.store.remove("server/a")
		time.Sleep(propagationLimit)
		require.Zero(t, f.entriesListing("server/a"))
	})
}

// Guards against entries that all read the store, which accounts for every call.
func TestRelaysReduceStoreCalls(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		f.store.put("tree", "1")
		time.Sleep(2 * failedRelayBackoff) // backoffs from relays that were not ready at the start have ended
		f.store.locked(func() { f.store.calls = 0 })
		const span = 60 * time.Second
		time.Sleep(span)
		callsPerReader := int(span/(storePollWait/2+storePollGap)) + 1
		calls := 0
		f.store.locked(func() { calls = f.store.calls })
		require.LessOrEqual(t, calls, Readers*callsPerReader)
		require.NoError(t, f.checkConverged())
	})
}

// Guards against a relay that pings the store although it has just answered: the
// store accounts for every ping.
func TestRelayPingsStoreOnlyWithoutRecentAnswer(t *testing.T) {
	runFleet(t, 4, func(t *testing.T, f *fleet) {
		time.Sleep(2 * failedRelayBackoff)
		pings := func() (n int) {
			f.store.locked(func() { n = f.store.pings })
			return n
		}
		before := pings()
		const span = 30 * time.Second
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			f.store.put("server/a", "stock 1")
		}
		// At most one ping between two answers, which are storePollGap apart.
		require.LessOrEqual(t, pings()-before, int(span/storePollGap)+1)
	})
}

// Guards against entries that all read the store because they do not know the first
// entry by rank and are told by the second that it does not read the store. On
// kbs-gateway-grown this caused 1,000 of the 1,500 calls of a test run with added
// instances.
func TestEntriesWithDifferentRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var firstHidden atomic.Bool
		rank := func(own int, skip func(string) bool) ([]string, bool) {
			if own > 1 && firstHidden.Load() {
				return rankByNumber(own, func(a string) bool { return a == "0" || skip(a) })
			}
			return rankByNumber(own, skip)
		}
		f := newFleetOn(newFakeStore(), 20, false, rank)
		defer f.close()
		time.Sleep(2 * failedRelayBackoff)
		firstHidden.Store(true)
		time.Sleep(peerRequestWindow)
		f.store.locked(func() { f.store.calls = 0 })
		const span = 30 * time.Second
		time.Sleep(span)
		f.store.locked(func() { require.LessOrEqual(t, f.store.calls, 2*(int(span/(storePollWait/2+storePollGap))+1)) })
		f.store.put("server/b", "stock 1")
		f.requireConverged(t)
	})
}

// Guards against a fleet in which, after the store has dropped its history, every
// entry reads a snapshot and then polls the store itself for some time. On
// kbs-gateway-grown this caused 1,100 of the 1,500 calls of a test run.
func TestSnapshotIsReadOnceAfterLostHistory(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		time.Sleep(2 * failedRelayBackoff)
		f.store.locked(func() { f.store.calls, f.store.missesChanges = 0, true })
		f.store.put("server/b", "stock 1")
		f.store.remove("server/a")
		f.store.compact()
		time.Sleep(storePollWait)
		f.store.locked(func() { f.store.missesChanges = false })
		const span = 20 * time.Second
		time.Sleep(span)
		require.NoError(t, f.checkConverged())
		f.store.locked(func() {
			// The calls with which a reader starts over come in addition to its polls.
			require.LessOrEqual(t, f.store.calls, Readers*(int((storePollWait+span)/(storePollWait/2+storePollGap))+1+5))
		})
	})
}

// Guards against a relay that, after an outage of the store, reads it again but
// keeps telling its peers that it is not in contact. On kbs-gateway-grown this
// caused 1,200 of the 1,500 calls of a test run with disconnected instances.
func TestRelayServesPeersAgainAfterStoreOutage(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		time.Sleep(2 * failedRelayBackoff)
		f.store.locked(func() { f.store.unavailable = true })
		f.store.put("server/b", "stock 1")
		time.Sleep(5 * time.Second)
		f.store.locked(func() { f.store.unavailable = false })
		time.Sleep(2 * failedRelayBackoff)
		f.store.locked(func() { f.store.calls = 0 })
		const span = 30 * time.Second
		time.Sleep(span)
		f.store.locked(func() { require.LessOrEqual(t, f.store.calls, Readers*(int(span/(storePollWait/2+storePollGap))+1)) })
		require.NoError(t, f.checkConverged())
	})
}

// Guards against entries that try a relay which is cut off from the store again
// every second, and read the store themselves in between, instead of using the
// entry next in rank.
func TestRelayThatStaysCutOffIsReplaced(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		time.Sleep(2 * failedRelayBackoff)
		f.disconnect(0)
		time.Sleep(failedRelayBackoff)
		f.store.locked(func() { f.store.calls = 0 })
		const span = 2 * failedRelayBackoff
		time.Sleep(span)
		// Each entry tries the first relay again once per failedRelayBackoff; the
		// other calls are polls of the second.
		callsPerReader := int(span/(storePollWait/2+storePollGap)) + 1
		f.store.locked(func() { require.LessOrEqual(t, f.store.calls, 20*int(span/failedRelayBackoff)+2*callsPerReader) })
	})
}

// Guards against a fleet that keeps making expensive calls to a store that is
// unavailable, and loads the full state of a relay each time. On hiili-gw-grown an
// outage of 4.5 s caused 900 calls.
func TestStoreOutageCausesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 20
		f := newFleet(entries)
		defer f.close()
		f.store.put("server/a", "stock 1")
		time.Sleep(2 * failedRelayBackoff)
		f.store.locked(func() { f.store.changesCalls, f.store.unavailable = 0, true })
		time.Sleep(5 * time.Second)
		f.store.locked(func() {
			// One call that is in progress or made at once, and one after a relay has
			// reported that it lost contact.
			require.LessOrEqual(t, f.store.changesCalls, 2*entries)
			f.store.unavailable = false
		})
		f.store.put("server/b", "stock 1")
		time.Sleep(maxRetryDelay + propagationLimit)
		require.NoError(t, f.checkConverged())
	})
}

// Guards against a lost packet between a relay and the store that makes all its
// peers read the store. On kbs-gateway-grown this caused 80 of the 310 calls of a
// quiet test run.
func TestLostPingsCauseNoStoreCalls(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f *fleet) {
		time.Sleep(2 * failedRelayBackoff)
		f.store.locked(func() { f.store.calls = 0 })
		const span = 30 * time.Second
		for range 10 {
			f.store.locked(func() { f.store.unansweredPings = 2 })
			time.Sleep(span / 10)
		}
		f.store.locked(func() {
			require.LessOrEqual(t, f.store.calls, Readers*(int(span/(storePollWait/2+storePollGap))+1))
		})
	})
}

// Guards against an entry that starts while the store is unavailable and does not
// load the last known state from its peers.
func TestStartWhileStoreIsUnavailable(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *fleet) {
		f.store.put("server/a", "stock 1")
		f.store.put("tree", "12")
		time.Sleep(5 * time.Second)
		f.store.locked(func() { f.store.unavailable = true })
		lateReader := NewReader(Options{
			Store: f.store, Translator: textStub{}, Recorder: events.Discard{}, PeerClient: fleetPeers{f: f},
			Relays: func(skip func(string) bool) ([]string, bool) { return rankByNumber(2, skip) },
		})
		defer lateReader.Close()
		version, _, err := lateReader.WatchTree(t.Context(), 0)
		require.NoError(t, err)
		require.EqualValues(t, 2, version)
	})
}

// Guards against an entry whose state permanently differs from the store after
// faults in any order: store unavailable, changes missed, history lost, store restored
// from a copy, relays frozen.
func TestEntriesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ action, n int }
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.IntRange(0, 11).Draw(t, "what"), rapid.IntRange(0, 4).Draw(t, "n")}
		}), 1, 30).Draw(rt, "steps")
		var divergence error
		synctest.Test(t, func(*testing.T) {
			f := newFleet(5)
			defer f.close()
			version := 0
			saved := f.store.copy()
			for _, s := range steps {
				switch s.action {
				case 0:
					f.store.put(fmt.Sprintf("server/%d", s.n), fmt.Sprintf("stock %d", s.n))
				case 1:
					f.store.remove(fmt.Sprintf("server/%d", s.n))
				case 2:
					version++
					f.store.put("tree", fmt.Sprintf("%0*d", version, 0))
				case 3:
					f.store.compact()
				case 4:
					f.store.locked(func() { f.store.unavailable = !f.store.unavailable })
				case 5:
					f.store.locked(func() { f.store.missesChanges = !f.store.missesChanges })
				case 6:
					f.setFrozen(s.n, s.n%2 == 0)
				case 7:
					time.Sleep(time.Duration(s.n) * 700 * time.Millisecond)
				case 8:
					saved = f.store.copy()
				case 9:
					f.store.restore(saved)
					if version > 0 { // the operator writes the newest version again
						f.store.put("tree", fmt.Sprintf("%0*d", version, 0))
					}
				case 10:
					f.store.put(fmt.Sprintf("%szone-%d", evacuationTestPrefix, s.n), "{}")
				case 11:
					f.store.remove(fmt.Sprintf("%szone-%d", evacuationTestPrefix, s.n))
				}
			}
			f.store.locked(func() { f.store.unavailable, f.store.missesChanges = false, false })
			for i := range f.readers {
				f.setFrozen(i, false)
			}
			time.Sleep(2*storePollWait + expiredHoldTime + recentFailureWindow + withholdTime + restoredHoldTime)
			divergence = f.checkConverged()
		})
		require.NoError(rt, divergence)
	})
}

// Guards against a first start at which every entry calls the store, and against
// entries that do not follow the store afterwards.
func TestOnlyReaderReadsStoreAtFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("server/a", "stock 1")
		store.put("tree", "1")
		f := newFleetOn(store, 20, true, rankByNumber)
		defer f.close()
		time.Sleep(firstDiscoveryTime + 2*readerLoadTime)
		require.NoError(t, f.checkConverged())
		store.locked(func() {
			// A reader makes three calls: snapshot, changes since, first poll.
			require.LessOrEqual(t, store.calls, 3*Readers)
		})
		store.put("server/b", "stock 1")
		f.requireConverged(t)
	})
}

// Guards against an entry that waits forever at its first start for a reader that
// does not answer.
func TestFirstStartWithFrozenReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("tree", "1")
		f := newFleetOn(store, 6, true, rankByNumber)
		defer f.close()
		f.setFrozen(0, true)
		time.Sleep(firstDiscoveryTime + readerLoadTime + 2*propagationLimit)
		require.NoError(t, f.checkConverged())
	})
}
