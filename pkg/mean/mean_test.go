package mean

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an initial value whose weight exceeds that of one sample.
func TestFewSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, maxWeightedSamples).Draw(t, "samples")
		var m Mean
		sum := 0.0
		for i, s := range samples {
			m.Add(s)
			sum += s
			require.InDelta(t, sum/float64(i+1), m.Value(), 1e-6)
			require.Equal(t, i+1, m.Count())
		}
	})
}

// Guards against a mean that stops following new samples after many samples.
func TestManySamples(t *testing.T) {
	var m Mean
	require.Zero(t, m.Value())
	for range 1000 {
		m.Add(1)
	}
	for range 4 * maxWeightedSamples {
		m.Add(2)
	}
	require.InDelta(t, 2, m.Value(), 0.05)
	require.Equal(t, maxWeightedSamples, m.Count())
}
