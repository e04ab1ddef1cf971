// Package subset limits the backend servers that one instance uses, so that a
// backend server is not connected to more instances than it has connections.
//
// While the most instances that run at once are no more than the connections
// of a backend server, every instance uses all of them. Above that there are
// two ways:
//
// A service with many backend servers lets each of them order the ordinals of
// the instances by a permutation of its own and takes those in the first
// places. The choice depends on the backend server's address and the
// instance's ordinal only: instances need not agree on a list, and a backend
// server that comes or goes changes nothing for the others.
//
// With few backend servers that would leave some instances with none. There,
// the ordinals form a ring, and the backend servers, in the order of their
// addresses' hashes, take windows that start at even distances. Every instance
// then has its fair number, but while lists differ a backend server can be used
// by more instances than it has connections; it refuses those, which is proof
// that nothing ran.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentilpin/pkg/routing"
)

const (
	// regularShare is the part of the connections that is assigned. The rest is
	// for instances that would otherwise use too few, and for lists that differ.
	regularShare = 0.9
	// minServers is the least number of backend servers of one instance, so
	// that a failed attempt has an alternative.
	minServers = 2
	// scatteredAbove is the mean number of backend servers for an instance from
	// which few enough instances fall below minServers by chance.
	scatteredAbove = 5
)

// Select returns the part of the list that the instance with this ordinal uses.
// ceiling is the most instances that run at once, connections the most that
// may use one backend server. The list is not changed.
func Select(list []routing.Backend, ordinal, ceiling, connections int) []routing.Backend {
	if ceiling <= connections {
		return list
	}
	all := make([]placed, len(list))
	for i, b := range list {
		all[i] = placed{backend: b, hash: xxhash.Sum64String(b.Address)}
	}
	places := max(1, int(regularShare*float64(connections)))
	if float64(len(list)*places) >= scatteredAbove*float64(ceiling) {
		scatter(all, ordinal, ceiling)
	} else {
		spread(all, ordinal, ceiling)
		connections = places
	}
	slices.SortStableFunc(all, func(a, b placed) int { return a.place - b.place })
	var out []routing.Backend
	for i, p := range all {
		// Beyond its connections a backend server is used only by an instance
		// that would otherwise have none.
		if p.place >= places && (i >= minServers || i > 0 && p.place >= connections) {
			break
		}
		out = append(out, p.backend)
	}
	return out
}

// placed is a backend server with the place that it gives to the instance.
type placed struct {
	backend routing.Backend
	hash    uint64
	place   int
}

// scatter gives places by a permutation for each backend server: an affine map
// modulo the number of ordinals, which takes each value once.
func scatter(all []placed, ordinal, ceiling int) {
	n := uint64(ceiling)
	for i := range all {
		h := all[i].hash
		factor := 1 + (h>>32)%(n-1)
		for gcd(factor, n) != 1 {
			factor = 1 + factor%(n-1)
		}
		offset := (h & 0xffffffff) % n
		all[i].place = int((factor*(uint64(ordinal)%n) + offset) % n)
	}
}

// spread gives places by the distance from the start of each backend server's
// window on the ring of ordinals.
func spread(all []placed, ordinal, ceiling int) {
	slices.SortFunc(all, func(a, b placed) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for i := range all {
		start := i * ceiling / len(all)
		all[i].place = ((ordinal-start)%ceiling + ceiling) % ceiling
	}
}

func gcd(a, b uint64) uint64 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
