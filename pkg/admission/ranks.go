package admission

import (
	"slices"
)

// MaxRanks is the largest number of ranks of a service. Further priorities share the
// last rank, so that settings cannot make a decision or a metric arbitrarily large.
const MaxRanks = 8

// Ranks are the distinct priorities of the routes that lead to a service, most urgent
// first. The zero value has no rank: all requests are served alike.
type Ranks struct{ priorities []int }

// NewRanks returns the ranks of a service. priorities may contain duplicates.
func NewRanks(priorities []int) Ranks {
	sorted := slices.Compact(slices.Sorted(slices.Values(priorities)))
	return Ranks{sorted[:min(len(sorted), MaxRanks)]}
}

// Differ reports whether there are at least two ranks. Otherwise admission by rank has
// no effect.
func (r Ranks) Differ() bool { return len(r.priorities) > 1 }

// Count returns the number of ranks.
func (r Ranks) Count() int { return len(r.priorities) }

// Rank returns the rank of a priority: the number of more urgent priorities in use, at
// most Count() - 1.
func (r Ranks) Rank(priority int) int {
	i, _ := slices.BinarySearch(r.priorities, priority)
	return max(0, min(i, len(r.priorities)-1))
}

// Equal reports whether both have the same priorities.
func (r Ranks) Equal(o Ranks) bool { return slices.Equal(r.priorities, o.priorities) }
