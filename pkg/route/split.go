package route

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"lentilpin/pkg/config/dynamic"
)

// goldenRatioStep is 2^64 divided by the golden ratio. Its multiples modulo
// 2^64 are distributed most evenly over the range of uint64.
const goldenRatioStep = 0x9e3779b97f4a7c15

// Split distributes requests among services by weight. It is safe for
// concurrent use.
type Split struct {
	services []string
	upper    []uint64 // exclusive upper bound of each service's interval in the range of uint64
	position atomic.Uint64
}

// NewSplit returns a split at a random position. A share with weight 0 gets no
// requests unless all weights are 0; all shares are then equal.
func NewSplit(shares []dynamic.WeightedService) *Split {
	s := &Split{}
	largest := 0.0
	for _, share := range shares {
		largest = max(largest, share.Weight)
	}
	// The sum of the weights themselves can exceed the range of float64.
	total := 0.0
	for _, share := range shares {
		total += relativeWeight(share.Weight, largest)
	}
	sum := 0.0
	for _, share := range shares {
		sum += relativeWeight(share.Weight, largest) / total
		s.services = append(s.services, share.Service)
		s.upper = append(s.upper, scaleToUint64(sum))
	}
	s.upper[len(s.upper)-1] = math.MaxUint64
	s.position.Store(rand.Uint64())
	return s
}

// relativeWeight returns a weight relative to the largest one, or 1 if all are 0.
func relativeWeight(weight, largest float64) float64 {
	if largest == 0 {
		return 1
	}
	return weight / largest
}

// scaleToUint64 scales x, from 0 to 1, to the range of uint64.
func scaleToUint64(x float64) uint64 {
	if x >= 1 {
		return math.MaxUint64
	}
	return uint64(x * (1 << 63) * 2)
}

// Next returns the service for the next request.
func (s *Split) Next() string {
	if len(s.services) == 1 {
		return s.services[0]
	}
	point := s.position.Add(goldenRatioStep)
	for i, upper := range s.upper {
		if point < upper {
			return s.services[i]
		}
	}
	return s.services[len(s.services)-1]
}
