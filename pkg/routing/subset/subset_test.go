package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/routing"
)

func backends(n, first int) []routing.Backend {
	list := make([]routing.Backend, n)
	for i := range list {
		list[i].Address = fmt.Sprintf("10.0.%d.%d:80", (first+i)/250, (first+i)%250)
	}
	return list
}

// users counts the instances that use each backend server.
func users(list []routing.Backend, ceiling, connections int) map[string]int {
	out := map[string]int{}
	for ordinal := range ceiling {
		for _, b := range Select(list, ordinal, ceiling, connections) {
			out[b.Address]++
		}
	}
	return out
}

// Guards against a backend server that is used by more instances than it has
// connections, or by none.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ceiling := rapid.IntRange(2, 700).Draw(t, "ceiling")
		connections := rapid.IntRange(max(20, ceiling/3), 250).Draw(t, "connections")
		list := backends(rapid.IntRange(6, 40).Draw(t, "servers"), rapid.IntRange(0, 20000).Draw(t, "first"))
		for address, n := range users(list, ceiling, connections) {
			require.LessOrEqual(t, n, connections, "%s", address)
		}
		require.Len(t, users(list, ceiling, connections), len(list))
	})
}

// Guards against a backend server that comes and moves the choices of others.
func TestOthersKeepTheirPlace(t *testing.T) {
	list := backends(20, 0)
	for ordinal := range 600 {
		all := Select(list, ordinal, 600, 250)
		fewer := Select(list[1:], ordinal, 600, 250)
		if len(fewer) <= minServers {
			continue
		}
		for _, b := range fewer {
			require.Contains(t, all, b)
		}
	}
}

// BenchmarkBalance reports how even the load of backend servers is at the
// planned size, if every instance spreads its requests evenly.
func BenchmarkBalance(b *testing.B) {
	const ceiling, connections = 600, 250
	for _, n := range []int{6, 19, 100} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var worst float64
			var most int
			for b.Loop() {
				list := backends(n, 0)
				load := map[string]float64{}
				for ordinal := range ceiling {
					chosen := Select(list, ordinal, ceiling, connections)
					for _, s := range chosen {
						load[s.Address] += float64(n) / ceiling / float64(len(chosen))
					}
				}
				for _, l := range load {
					worst = max(worst, l)
				}
				for _, u := range users(list, ceiling, connections) {
					most = max(most, u)
				}
			}
			b.ReportMetric(worst, "worst-load")
			b.ReportMetric(float64(most), "most-users")
		})
	}
}
