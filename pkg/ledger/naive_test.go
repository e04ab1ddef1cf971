package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// listOwner is the alternative that docs/decisions/at-most-once.md rejects:
// the caller makes the key, and each instance computes the owner by rendezvous
// hashing over its own list of instances.
func listOwner(list []int, key string) int {
	score := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprint(i, " ", key)) }
	return slices.MaxFunc(list, func(a, b int) int {
		if score(a) < score(b) {
			return -1
		}
		return 1
	})
}

// listRuns claims one key at two instances, each with its own list, and
// returns how often it runs. Every owner grants the key once.
func listRuns(key string, lists ...[]int) int {
	granted := map[int]bool{}
	for _, list := range lists {
		granted[listOwner(list, key)] = true
	}
	return len(granted)
}

// members returns the numbers of the bits that are set.
func members(bits int) (list []int) {
	for i := range 4 {
		if bits>>i&1 == 1 {
			list = append(list, i)
		}
	}
	return list
}

// Guards against choosing an owner from a list: it searches all lists of up to
// four instances, one of which a second instance does not know of yet, for a
// key that runs twice.
func TestOwnerFromListsRunsTwice(t *testing.T) {
	tried, twice, example := 0, 0, ""
	for key := range 100 {
		for all := range 16 {
			for missing := range 4 {
				a, b := members(all), members(all&^(1<<missing))
				if len(b) == 0 {
					continue
				}
				runs := listRuns(fmt.Sprint("order ", key), a, b)
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
