package membership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// responsibleSettleTime is how long an instance that has started or was paused does
// not act on its responsibility.
const responsibleSettleTime = 3 * time.Second

// requireOneResponsible checks for some keys, several times during span, that the
// live shares of all nodes that consider themselves responsible are together at
// most 1. skip names nodes that do not act on their responsibility now.
func (f *fleet) requireOneResponsible(t *testing.T, span time.Duration, skip func(*node) bool) {
	t.Helper()
	f.requireShares(t, 1, span, skip)
}

// requireShares is requireOneResponsible with another limit of the sum.
func (f *fleet) requireShares(t *testing.T, limit float64, span time.Duration, skip func(*node) bool) {
	t.Helper()
	const keys = 8
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		sum := [keys]float64{}
		for _, n := range f.sortedNodes() {
			if skip(n) {
				continue
			}
			share := n.table.LiveShare()
			for k := range keys {
				if _, isSelf := n.table.Responsible(fmt.Sprint("key ", k), "domain-00001"); isSelf {
					sum[k] += share
				}
			}
		}
		for k := range keys {
			require.LessOrEqual(t, sum[k], limit+1e-9, "key %d, %v before the end of the span", k, time.Until(end))
		}
	}
}

// agree returns the number of nodes that name the most frequent instance as
// responsible for a key.
func (f *fleet) agree(key string) int {
	votes, most := map[string]int{}, 0
	for _, n := range f.sortedNodes() {
		address, _ := n.table.Responsible(key, "domain-00001")
		votes[address]++
		most = max(most, votes[address])
	}
	return most
}

// Guards against two instances that consider themselves responsible for the same
// key, and together exceed a limit on the sum over all instances, while some start,
// are paused, are cut off or are counted wrongly.
func TestOneInstanceIsResponsible(t *testing.T) {
	for _, tt := range []struct {
		size      int
		longSplit bool // the partition lasts until each side has forgotten the other
	}{{19, true}, {40, true}, {107, false}} {
		size := tt.size
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, size, 3)
				f.startAll()
				defer f.stopAll()
				nobody := func(*node) bool { return false }
				time.Sleep(responsibleSettleTime)
				f.requireOneResponsible(t, 10*time.Second, nobody)
				require.Equal(t, size, f.agree("key 1"))
				for _, n := range f.sortedNodes() {
					require.Equal(t, 1.0, n.table.LiveShare())
				}

				// Instances die and start again: their names, and thereby the
				// responsibilities, stay the same.
				restarted := map[*node]bool{}
				for i := range size / 3 {
					f.stopNode(f.nodes[f.instances[3*i].Address])
					restarted[f.startNode(3*i, "wait")] = true
				}
				f.requireOneResponsible(t, responsibleSettleTime, func(n *node) bool { return restarted[n] })
				f.requireOneResponsible(t, 5*time.Second, nobody)

				// Some are paused and resume with an outdated table.
				paused := map[*node]bool{}
				for i := range size / 4 {
					n := f.nodes[f.instances[4*i+1].Address]
					n.pause()
					paused[n] = true
				}
				f.requireOneResponsible(t, 6*time.Second, func(n *node) bool { return paused[n] })
				for n := range paused {
					n.resume()
				}
				f.requireOneResponsible(t, responsibleSettleTime, func(n *node) bool { return paused[n] })
				f.requireOneResponsible(t, 5*time.Second, nobody)

				// A third of them is cut off. The instances don't forget the other side at
				// the same moment; rate limits may be exceeded by half.
				f.update(func() { f.cutGroup(size/3, true) })
				f.requireOneResponsible(t, 25*time.Second, nobody)
				if tt.longSplit {
					f.requireShares(t, 1.5, 60*time.Second, nobody)
					f.requireOneResponsible(t, 20*time.Second, nobody)
				}
				f.update(func() { f.cutGroup(size/3, false) })
				f.requireShares(t, 1.5, 5*time.Second, nobody)
				f.requireOneResponsible(t, 10*time.Second, nobody)
			})
		})
	}
}
