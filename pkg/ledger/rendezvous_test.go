package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// ownerFromList implements the alternative that docs/decisions/at-most-once.md
// rejects: the caller creates the key, and each instance determines the owner by
// rendezvous hashing over its own list of instances.
func ownerFromList(list []int, key string) int {
	score := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprint(i, " ", key)) }
	return slices.MaxFunc(list, func(a, b int) int {
		if score(a) < score(b) {
			return -1
		}
		return 1
	})
}

// runsWithLists returns how often the request of one key runs if it is claimed
// at several instances, each with its own list. Every owner grants the key once.
func runsWithLists(key string, lists ...[]int) int {
	granted := map[int]bool{}
	for _, list := range lists {
		granted[ownerFromList(list, key)] = true
	}
	return len(granted)
}

// instancesInMask returns the numbers of the instances whose bits are set.
func instancesInMask(mask int) (list []int) {
	for i := range 4 {
		if mask>>i&1 == 1 {
			list = append(list, i)
		}
	}
	return list
}

// Guards against determining owners from instance lists. It searches all lists of
// up to four instances, one of which is missing from the list of a second
// instance, for a key that runs twice.
func TestOwnerFromListsRunsTwice(t *testing.T) {
	tried, twice, example := 0, 0, ""
	for key := range 100 {
		for mask := range 16 {
			for missing := range 4 {
				a, b := instancesInMask(mask), instancesInMask(mask&^(1<<missing))
				if len(b) == 0 {
					continue
				}
				runs := runsWithLists(fmt.Sprint("order ", key), a, b)
				if len(a) == len(b) {
					require.Equal(t, 1, runs, "equal lists")
					continue
				}
				if tried++; runs == 2 {
					twice++
					example = fmt.Sprintf("order %d runs twice with lists %v and %v", key, a, b)
				}
			}
		}
	}
	require.NotZero(t, twice)
	t.Logf("%s; %d of %d cases", example, twice, tried)
}
