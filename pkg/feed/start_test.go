package feed

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// startTarget is the time after which a fleet that starts at once must serve.
	startTarget = time.Second
	// startShare is the share of the fleet that must serve then.
	startShare = 0.9
	// storeLinkBytesPerSecond is the bandwidth of the platform's store, 1,000 Mbit/s.
	storeLinkBytesPerSecond = 1000e6 / 8
	// registrationBytes is the size of a registration on the wire.
	registrationBytes = 500
)

// relaysAfterDiscovery is rankByNumber after the time in which entries that start at once
// discover each other; before it, no entry knows a relay.
func relaysAfterDiscovery() func(int, func(string) bool) ([]string, bool) {
	start := time.Now()
	return func(own int, skip func(string) bool) ([]string, bool) {
		if time.Since(start) < discoveryTime {
			return nil, false
		}
		return rankByNumber(own, skip)
	}
}

// servingEntries returns the number of entries that have a settings tree and know backend
// servers, and how many of them list the backend server that most of them list.
func (f *fleet) servingEntries() (n, busiest int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]int{}
	for i, list := range f.lists {
		if f.trees[i] == 0 || len(list) == 0 {
			continue
		}
		n++
		for name := range list {
			listed[name]++
			busiest = max(busiest, listed[name])
		}
	}
	return n, busiest
}

// fleetStart is a start of all entries of one failure domain at once.
type fleetStart struct {
	desc             string
	entries, servers int
	pageDelay        time.Duration
	// maxListed is the share of the entries that may list the same backend server when
	// enough of them serve; 1: most entries hold all.
	maxListed    float64
	refusesThird bool // the store refuses calls of each third entry
}

// requireServedInTime plays the start and requires that startShare of the entries serve
// within startTarget.
func (s fleetStart) requireServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.pageItems, store.pageDelay, store.link = 50, s.pageDelay, &link{bytesPerSecond: storeLinkBytesPerSecond}
		store.refusesThird = s.refusesThird
		store.put(firstTreeKey, "tree")
		store.putRegistrations(s.servers)
		f := newFleetOn(store, s.entries, false, relaysAfterDiscovery())
		defer f.close()
		n, busiest := 0, 0
		for start := time.Now(); float64(n) < startShare*float64(s.entries); {
			require.Less(t, time.Since(start), startTarget)
			time.Sleep(startTarget / 100)
			n, busiest = f.servingEntries()
		}
		require.LessOrEqual(t, float64(busiest), s.maxListed*float64(n))
		time.Sleep(10 * time.Second)
		require.NoError(t, f.checkConverged())
	})
}

// Guards against a fleet that serves late after all entries have started at once, because
// each of them first reads all pages of the store over one link, and against first requests
// that all go to the few backend servers of the same page.
func TestWholeFleetStartsAtOnce(t *testing.T) {
	for _, tt := range []fleetStart{
		{"19 entries", 19, 41, 10 * time.Millisecond, 1, false},
		{"107 entries", 107, 191, 50 * time.Millisecond, 0.9, false},
		{"472 entries", 472, 1081, 10 * time.Millisecond, 0.5, false},
		{"472 entries, slow store", 472, 1081, 200 * time.Millisecond, 0.5, false},
		{"107 entries, the store refuses a third", 107, 191, 10 * time.Millisecond, 1, true},
	} {
		t.Run(tt.desc, func(t *testing.T) { tt.requireServedInTime(t) })
	}
}

// Guards against the same where the store refuses a third of a large fleet.
func TestLargeFleetStartsWhileAThirdIsRefused(t *testing.T) {
	fleetStart{"", 472, 1081, 10 * time.Millisecond, 1, true}.requireServedInTime(t)
}

// putRegistrations registers backend servers with random identifiers.
func (s *fakeStore) putRegistrations(n int) {
	random := rand.New(rand.NewPCG(1, 0))
	for range n {
		s.put(fmt.Sprintf("server/i-%08x", random.Uint32()), "stock "+strings.Repeat("x", registrationBytes))
	}
}

// relaysOfTwoGroups returns Options.Relays of entries that discover each other late: at
// first, those with an odd number do not know the first one.
func relaysOfTwoGroups() func(int, func(string) bool) ([]string, bool) {
	start := time.Now()
	return func(own int, skip func(string) bool) ([]string, bool) {
		if time.Since(start) < 2*firstDiscoveryTime && own%2 == 1 && own > 1 && !skip("1") {
			return []string{"1"}, false
		}
		return rankByNumber(own, skip)
	}
}

// relaysWithoutAgreement returns Options.Relays of entries that do not agree on their ranks
// for some seconds: most of them know one of four others by chance.
func relaysWithoutAgreement() func(int, func(string) bool) ([]string, bool) {
	start := time.Now()
	return func(own int, skip func(string) bool) ([]string, bool) {
		if time.Since(start) > keepRelayTime || own <= 4 {
			return rankByNumber(own, skip)
		}
		var out []string
		for i := range 4 {
			if a := fmt.Sprint(i + 1); !skip(a) {
				out = append(out, a)
			}
		}
		return out[:min(len(out), 1+rand.N(2))], len(out) == 0
	}
}

// Guards against entries that turn from the relay that they have loaded from to others,
// which do not read the store, and poll the store each time.
func TestRelayIsKeptAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(firstTreeKey, "tree")
		store.putRegistrations(50)
		f := newFleetOn(store, 40, true, relaysWithoutAgreement())
		time.Sleep(firstDiscoveryTime + readerLoadTime + firstLoadTimeout + keepRelayTime)
		defer f.close()
		require.NoError(t, f.checkConverged())
		fallbacks := uint64(0)
		for _, r := range f.readers {
			fallbacks += r.calls[CallFallback].Load()
		}
		require.LessOrEqual(t, fallbacks, uint64(len(f.readers)/10))
	})
}

// Guards against a first start at which the entries of a failure domain read the store one
// by one, because their relay cannot send them the full state in time, or because they ask
// one that does not know yet that it is the relay.
func TestFirstStartReadsTheStoreOnce(t *testing.T) {
	const entries, servers, pageItems, relayBytesPerSecond = 94, 1081, 50, 20e6 / 8
	for _, tt := range []struct {
		desc    string
		relays  func() func(int, func(string) bool) ([]string, bool)
		readers int // that may read all pages
	}{
		{"all know the relay", relaysAfterDiscovery, 1},
		{"two groups", relaysOfTwoGroups, 2},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.pageItems, store.pageDelay = pageItems, 10*time.Millisecond
				store.put(firstTreeKey, "tree")
				store.putRegistrations(servers)
				all := make([]links, entries)
				for i := range all {
					all[i] = newLinks(relayBytesPerSecond)
				}
				f := newFleetOf(store, all, true, tt.relays())
				defer f.close()
				time.Sleep(firstDiscoveryTime + readerLoadTime + maxLoadSpread + relayLoadTimeout)
				require.NoError(t, f.checkConverged())
				store.locked(func() { require.LessOrEqual(t, store.pageCalls, tt.readers*(servers/pageItems+1)) })
			})
		})
	}
}

// Guards against calls to the store that no counter shows.
func TestCallsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.pageItems = 3
		store.put(firstTreeKey, "tree")
		store.putRegistrations(20)
		f := newFleetOn(store, 5, false, relaysAfterDiscovery())
		time.Sleep(3 * time.Second)
		f.setFrozen(0, true)
		store.put("server/new", "stock 1")
		store.compact()
		time.Sleep(10 * time.Second)
		f.close()
		counted := map[string]uint64{}
		total := 0
		for _, r := range f.readers {
			for reason := range callReasons {
				n := r.calls[reason].Load()
				counted[reason.String()] += n
				total += int(n)
			}
		}
		require.Equal(t, store.pageCalls+store.changesCalls+store.pings+store.treeCalls, total)
		for _, reason := range []CallReason{CallStart, CallReload, CallPoll, CallFallback, CallPing} {
			require.NotZero(t, counted[reason.String()], reason.String())
		}
	})
}
