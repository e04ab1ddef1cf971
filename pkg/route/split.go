package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"lentilpin/pkg/config/dynamic"
)

// goldenStep is 2^64 divided by the golden ratio: multiples of it, modulo 2^64,
// are spread most evenly over the range.
const goldenStep = 0x9e3779b97f4a7c15

// Split shares requests among services by weight. It is safe for concurrent use.
type Split struct {
	services []string
	upper    []uint64 // upper end of each service's part of the range, excluded
	position atomic.Uint64
}

// NewSplit returns a split at a random position. Shares without weight get no
// requests unless all are without.
func NewSplit(shares []dynamic.Share) *Split {
	s := &Split{}
	total := 0.0
	for _, share := range shares {
		total += share.Weight
	}
	sum := 0.0
	for _, share := range shares {
		weight := share.Weight
		if total == 0 {
			weight = 1 / float64(len(shares))
		} else {
			weight /= total
		}
		sum += weight
		s.services = append(s.services, share.Service)
		s.upper = append(s.upper, fraction(sum))
	}
	s.upper[len(s.upper)-1] = math.MaxUint64
	s.position.Store(rand.Uint64())
	return s
}

// fraction returns the part x, 0 to 1, of the range of uint64.
func fraction(x float64) uint64 {
	if x >= 1 {
		return math.MaxUint64
	}
	return uint64(x * (1 << 63) * 2)
}

// Next returns the service of the next request.
func (s *Split) Next() string {
	if len(s.services) == 1 {
		return s.services[0]
	}
	at := s.position.Add(goldenStep)
	for i, upper := range s.upper {
		if at < upper {
			return s.services[i]
		}
	}
	return s.services[len(s.services)-1]
}
