// Package subset limits the backend servers that one instance uses, so that the
// instances that use a backend server are no more than its connections.
//
// If the maximum number of concurrent instances is at most the connections of a
// backend server, every instance uses all backend servers. Above that there are two
// methods of deterministic subsetting. Both rank the instances for each backend
// server, which serves those of the lowest ranks.
//
// For a service with many backend servers, each of them ranks the ordinals of the
// instances by a permutation of its own. The rank depends only on the address of
// the backend server and the ordinal of the instance: instances need not agree on a
// list, and adding or removing a backend server does not change the ranks for the
// others.
//
// With few backend servers, permutations would leave some instances without any.
// In this case the ordinals form a ring, and the backend servers, sorted by the
// hashes of their addresses, serve windows of the ring that start at equal
// distances. Every instance then gets its fair number of backend servers. While the
// lists of instances differ, more instances than connections can use a backend
// server. It refuses the excess connections, which proves that it did not run their
// requests.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilpin/pkg/routing"
)

const (
	// assignedShare is the share of the connections of a backend server that is
	// assigned by rank. The rest is reserved for instances that would otherwise use
	// too few backend servers, and for differences between the lists of instances.
	assignedShare = 0.9
	// minServers is the minimum number of backend servers of one instance, so that
	// a failed attempt can be retried on another backend server.
	minServers = 2
	// minMeanForPermutation is the mean number of backend servers per instance from
	// which rankByPermutation leaves only few instances below minServers.
	minMeanForPermutation = 5
)

// Select returns the backend servers of the list that the instance with this
// ordinal uses. maxInstances is the maximum number of instances that run at once,
// connections the maximum number that may use one backend server. The list is not
// modified.
func Select(list []routing.Backend, ordinal, maxInstances, connections int) []routing.Backend {
	if maxInstances <= connections {
		return list
	}
	all := make([]rankedBackend, len(list))
	for i, b := range list {
		all[i] = rankedBackend{backend: b, hash: xxhash.Sum64String(b.Address)}
	}
	assignedRanks := max(1, int(assignedShare*float64(connections)))
	if float64(len(list)*assignedRanks) >= minMeanForPermutation*float64(maxInstances) {
		rankByPermutation(all, ordinal, maxInstances)
	} else {
		rankByRingDistance(all, ordinal, maxInstances)
		connections = assignedRanks
	}
	slices.SortStableFunc(all, func(a, b rankedBackend) int { return a.rank - b.rank })
	var out []routing.Backend
	for i, p := range all {
		// Only an instance without any other backend server uses one beyond
		// its connections.
		if p.rank >= assignedRanks && (i >= minServers || i > 0 && p.rank >= connections) {
			break
		}
		out = append(out, p.backend)
	}
	return out
}

// rankedBackend is a backend server with the rank that the instance has for it.
type rankedBackend struct {
	backend routing.Backend
	hash    uint64
	rank    int
}

// rankByPermutation sets the rank by a permutation of the ordinals for each backend
// server: an affine map modulo maxInstances with a factor coprime to it, which takes
// each value once.
func rankByPermutation(all []rankedBackend, ordinal, maxInstances int) {
	n := uint64(maxInstances)
	for i := range all {
		h := all[i].hash
		factor := 1 + (h>>32)%(n-1)
		for gcd(factor, n) != 1 {
			factor = 1 + factor%(n-1)
		}
		offset := (h & 0xffffffff) % n
		all[i].rank = int((factor*(uint64(ordinal)%n) + offset) % n)
	}
}

// rankByRingDistance sets the rank to the distance of the ordinal from the start of
// the window of each backend server on the ring of ordinals.
func rankByRingDistance(all []rankedBackend, ordinal, maxInstances int) {
	slices.SortFunc(all, func(a, b rankedBackend) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for i := range all {
		start := i * maxInstances / len(all)
		all[i].rank = ((ordinal-start)%maxInstances + maxInstances) % maxInstances
	}
}

// gcd returns the greatest common divisor of a and b.
func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
