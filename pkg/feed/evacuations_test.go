package feed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/events"
	"lentilpin/pkg/platform"
)

// evacuationBound is the time within which an evacuation must take effect.
const evacuationBound = 5 * time.Second

// Guards against an evacuation that an older state undoes, and against one that never ends:
// after any sequence of changes, repetitions, snapshots and restorations, what the latest
// change of each key says is in force.
func TestEvacuationFollowsLatestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := newEvacuations(textStub{}, events.Discard{}), time.Now()
		revision, state, log := uint64(1), map[string]Change{}, []Change(nil)
		key := func() string { return evacuationTestPrefix + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone") }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				revision++
				c := Change{Key: key(), Revision: revision, Deleted: rapid.Bool().Draw(t, "deleted")}
				state[c.Key], log = c, append(log, c)
				l.apply([]Change{c}, now)
			},
			"repeat a change": func(t *rapid.T) {
				if len(log) > 0 {
					l.apply([]Change{rapid.SampledFrom(log).Draw(t, "change")}, now)
				}
			},
			"older snapshot": func(t *rapid.T) {
				at := Position{Revision: rapid.Uint64Range(1, revision).Draw(t, "at")}
				snapshot := map[string]Change{}
				for _, c := range log {
					if c.Revision <= at.Revision {
						snapshot[c.Key] = c
					}
				}
				l.replace(snapshot, at, now)
			},
			"": func(t *rapid.T) {
				for _, zone := range []string{"a", "b"} {
					c, exists := state[evacuationTestPrefix+zone]
					require.Equal(t, exists && !c.Deleted, l.contains(zone), zone)
				}
			},
		})
	})
}

// Guards against an evacuation that ends, or that nobody can end, because the store was
// restored from an older copy.
func TestEvacuationInRestoredStore(t *testing.T) {
	key := evacuationTestPrefix + "a"
	for _, tt := range []struct {
		desc             string
		copied           []Change // what the copy holds
		later            []Change
		want, wantAtHold bool // at once, and at the end of the hold
	}{
		{"the copy lacks it", nil, nil, true, false},
		{"the copy lacks it, and it is written again", nil, []Change{{Key: key, Revision: 3}}, true, true},
		{"the copy lacks it, and it is deleted", nil, []Change{{Key: key, Revision: 3, Deleted: true}}, false, false},
		{"the copy holds it", []Change{{Key: key, Revision: 2}}, nil, true, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			l, now := newEvacuations(textStub{}, events.Discard{}), time.Now()
			l.apply([]Change{{Key: key, Revision: 9}}, now)
			snapshot := map[string]Change{}
			for _, c := range tt.copied {
				snapshot[c.Key] = c
			}
			l.beginEra(snapshot, now)
			l.replace(snapshot, Position{Era: 2, Revision: 2}, now)
			require.True(t, l.contains("a"))
			l.apply(tt.later, now)
			require.Equal(t, tt.want, l.contains("a"))
			l.endHolds(now.Add(restoredHoldTime))
			require.Equal(t, tt.wantAtHold, l.contains("a"))
		})
	}
}

// Guards against a list that grows with the keys of other writers, and against an evacuation
// that these displace.
func TestEvacuationsOfOtherWriters(t *testing.T) {
	l, now := newEvacuations(textStub{}, events.Discard{}), time.Now()
	var changes []Change
	for i := range 10 * maxUnknownDomains {
		changes = append(changes, Change{Key: fmt.Sprintf("%sa-%d", evacuationTestPrefix, i), Revision: uint64(i + 1)})
	}
	l.apply(append(changes, Change{Key: evacuationTestPrefix + "zone", Revision: 5000}), now)
	server := platform.Instance{Kind: platform.KindBackend, FailureDomain: "zone"}
	list := l.withRegistered([]platform.Instance{server})
	require.Len(t, list, maxUnknownDomains+2)
	require.Contains(t, list, platform.Instance{Name: "zone", Kind: platform.KindFailureDomain, FailureDomain: "zone", State: platform.StateEvacuated})
	require.Equal(t, server, list[len(list)-1])
}

// Guards against the backend servers that remain being taken for deregistered, because
// those of an evacuated failure domain, whose registrations did not expire, are counted.
func TestExpiredRegistrationsAreHeldBesideAnEvacuation(t *testing.T) {
	l, now := newTestRegistrations(), time.Now()
	l.isEvacuated = func(failureDomain string) bool { return failureDomain == "a" }
	for i := range 6 {
		key, domain := fmt.Sprintf("server/%d", i), "a"
		if i >= 4 {
			domain = "b"
		}
		l.known[key] = registration{instance: platform.Instance{Name: key, Service: "stock", FailureDomain: domain, Start: "1"}, revision: 1}
	}
	l.apply(deletions(2, "server/4", "server/5"), now, true)
	require.Len(t, l.serverNames(now), 6)
}

// Guards against an evacuation that an entry learns of too late, or forgets: behind a relay,
// beside large settings trees on slow links, while relays fail, during an outage of the store.
func TestEvacuationReachesAllEntries(t *testing.T) {
	const zone = "zone-a"
	key := evacuationTestPrefix + zone
	slowLink := func(store *fakeStore) *fleet { return newFleetWithLinks(store, 6, 10e6/8) }
	for _, tt := range []struct {
		desc    string
		start   func(store *fakeStore) *fleet
		trouble func(f *fleet) // right before the evacuation
	}{
		{"calm", func(store *fakeStore) *fleet { return newFleetOn(store, 6, false, rankByNumber) }, func(*fleet) {}},
		{"the reply is lost", slowLink, func(f *fleet) { f.waitForPoll(0); f.loseReply(0) }},
		{"trees of 1 MB each 100 ms", slowLink, func(f *fleet) {
			for i := range 30 {
				f.store.put("tree", string(make([]byte, 1<<20+i)))
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"the relay freezes beside large trees", slowLink, func(f *fleet) {
			f.store.put("tree", string(make([]byte, 1<<20)))
			time.Sleep(3 * time.Second)
			f.setFrozen(0, true)
			f.store.put("tree", string(make([]byte, 1<<20+1)))
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.put("server/a", "stock 1")
				f := tt.start(store)
				defer f.close()
				time.Sleep(2 * failedRelayBackoff)
				tt.trouble(f)
				store.put(key, "{}")
				time.Sleep(evacuationBound * 9 / 10)
				require.Equal(t, len(f.readers), f.entriesListing(zone))
				store.locked(func() { store.unavailable = true })
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					require.True(t, f.readers[0].IsCurrent() && f.readers[5].IsCurrent(), "requests would wait")
				}
				require.Equal(t, len(f.readers), f.entriesListing(zone), "during an outage of the store")
				store.locked(func() { store.unavailable = false })
				store.remove(key)
				time.Sleep(20 * time.Second)
				require.Zero(t, f.entriesListing(zone))
			})
		})
	}
}

// Guards against an entry that publishes backend servers before it knows the evacuations,
// also where other keys fill the first page, and against calls of no use.
func TestEvacuationIsKnownBeforeFirstList(t *testing.T) {
	for _, tt := range []struct {
		desc      string
		otherKeys int // that precede those of evacuations
		calls     int
	}{{"on the first page", 0, 0}, {"behind the first page", 100, 1}} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.pageItems = 20
				for i := range tt.otherKeys {
					store.put(fmt.Sprintf("a-%d", i), "")
				}
				store.put(firstTreeKey, "tree")
				store.put(evacuationTestPrefix+"zone", "{}")
				store.putRegistrations(200)
				r := NewReader(Options{Store: store, Translator: textStub{}, Recorder: events.Discard{}, EvacuationBound: evacuationBound})
				defer r.Close()
				_, list, err := r.WatchInstances(t.Context(), 0)
				require.NoError(t, err)
				require.Equal(t, platform.KindFailureDomain, list[0].Kind)
				require.Less(t, len(list), 100, "the first list holds a part of the backend servers")
				time.Sleep(time.Minute)
				store.locked(func() { require.Equal(t, tt.calls, store.evacuationCalls) })
			})
		})
	}
}

// Guards against a relay whose log skips an evacuation, because it has gone on to the
// position of a poll that was for registrations only.
func TestEvacuationInPollForRegistrations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		r := NewReader(Options{Store: store, Translator: textStub{}, Recorder: events.Discard{}, EvacuationBound: evacuationBound})
		store.put(evacuationTestPrefix+"zone", "{}")
		store.put("server/a", "stock 1")
		p, err := r.pollRegistrations(t.Context(), Position{Era: 1, Revision: 1}, time.Second)
		require.NoError(t, err)
		require.Equal(t, []Change{
			{Key: evacuationTestPrefix + "zone", Value: []byte("{}"), Revision: 2}, {Key: "server/a", Value: []byte("stock 1"), Revision: 3},
		}, p.changes)
	})
}

// Guards against requests that are sent after a pause of the process before the evacuations
// have been read again.
func TestEvacuationsAreReadAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("server/a", "stock 1")
		r := NewReader(Options{Store: store, Translator: textStub{}, Recorder: events.Discard{}, EvacuationBound: evacuationBound})
		defer r.Close()
		_, _, err := r.WatchInstances(t.Context(), 0)
		require.NoError(t, err)
		require.True(t, r.IsCurrent())
		r.lastComplete.Store(time.Now().Add(-evacuationBound).UnixNano())
		require.False(t, r.IsCurrent())
		time.Sleep(2 * lateCheckInterval)
		require.True(t, r.IsCurrent())
		store.locked(func() { require.Equal(t, 1, store.evacuationCalls) })
	})
}

// Guards against an evacuation that an entry learns of only at the end of its start, which
// takes long over a slow link while it serves already.
func TestEvacuationDuringSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.pageItems, store.pageDelay = 20, 3*time.Second
		store.put(firstTreeKey, "tree")
		store.putRegistrations(200)
		r := NewReader(Options{Store: store, Translator: textStub{}, Recorder: events.Discard{}, EvacuationBound: evacuationBound})
		defer r.Close()
		number, _, err := r.WatchInstances(t.Context(), 0)
		require.NoError(t, err)
		time.Sleep(time.Second)
		store.put(evacuationTestPrefix+"zone", "{}")
		start := time.Now()
		_, list, err := r.WatchInstances(t.Context(), number)
		require.NoError(t, err)
		require.Less(t, time.Since(start), evacuationBound)
		require.Equal(t, platform.KindFailureDomain, list[0].Kind)
		require.Equal(t, Position{}, r.log.lastPosition(), "the start has not ended")
	})
}
