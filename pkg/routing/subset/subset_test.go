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

// instancesPerBackend returns the number of instances that use each backend server,
// by address.
func instancesPerBackend(list []routing.Backend, maxInstances, connections int) map[string]int {
	out := map[string]int{}
	for ordinal := range maxInstances {
		for _, b := range Select(list, ordinal, maxInstances, connections) {
			out[b.Address]++
		}
	}
	return out
}

// Guards against a backend server that more instances use than it has connections,
// and against one that no instance uses.
func TestInstancesPerBackendStayWithinConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxInstances := rapid.IntRange(2, 700).Draw(t, "ceiling")
		connections := rapid.IntRange(max(20, maxInstances/3), 250).Draw(t, "connections")
		list := backends(rapid.IntRange(6, 40).Draw(t, "servers"), rapid.IntRange(0, 20000).Draw(t, "first"))
		for address, n := range instancesPerBackend(list, maxInstances, connections) {
			require.LessOrEqual(t, n, connections, "%s", address)
		}
		require.Len(t, instancesPerBackend(list, maxInstances, connections), len(list))
	})
}

// Guards against instances without a backend server where a backend server accepts few
// connections: its limit is a fact that no setting changes.
func TestFewConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxInstances := rapid.IntRange(2, 200).Draw(t, "ceiling")
		connections := rapid.IntRange(1, maxInstances).Draw(t, "connections")
		list := backends(rapid.IntRange(1, 40).Draw(t, "servers"), rapid.IntRange(0, 20000).Draw(t, "first"))
		for ordinal := range maxInstances {
			require.NotEmpty(t, Select(list, ordinal, maxInstances, connections))
		}
	})
}

// Guards against an added backend server that changes which of the other backend
// servers an instance uses.
func TestAddedBackendKeepsOtherSelections(t *testing.T) {
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

// BenchmarkBalance reports the balance of load over the backend servers for 600
// instances and 250 connections, if every instance distributes its requests
// equally.
func BenchmarkBalance(b *testing.B) {
	const maxInstances, connections = 600, 250
	for _, n := range []int{6, 19, 100} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var maxLoad float64
			var maxCount int
			for b.Loop() {
				list := backends(n, 0)
				load := map[string]float64{}
				for ordinal := range maxInstances {
					selected := Select(list, ordinal, maxInstances, connections)
					for _, s := range selected {
						load[s.Address] += float64(n) / maxInstances / float64(len(selected))
					}
				}
				for _, l := range load {
					maxLoad = max(maxLoad, l)
				}
				for _, u := range instancesPerBackend(list, maxInstances, connections) {
					maxCount = max(maxCount, u)
				}
			}
			b.ReportMetric(maxLoad, "worst-load")
			b.ReportMetric(float64(maxCount), "most-users")
		})
	}
}
