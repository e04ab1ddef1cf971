package dynamic_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"lentilpin/pkg/config/dynamic"
)

// sizedTree is a tree of two regions in which each service states four values
// of its own.
func sizedTree(services int) []byte {
	var nodes []string
	for i := range services {
		nodes = append(nodes, fmt.Sprintf(`"service-%d":{"timeoutMs":%d,"queue":{"maxRequests":%d},"measuring":{"messagesPerSecond":%d},"retry":{"budgetRatio":0.05}}`,
			i, 500+i, 64+i, 10+i))
	}
	list := strings.Join(nodes, ",")
	return []byte(`{"version":1,"fleet":{"defaults":{"timeoutMs":1000}},"regions":{"north":{"services":{` + list + `}},"south":{"services":{` + list + `}}}}`)
}

// BenchmarkParse gives the slopes of docs/CAPACITY.md: one adoption by the
// number of services where one of them changes, with the size of the tree and of what it takes in memory.
func BenchmarkParse(b *testing.B) {
	for _, services := range []int{80, 240, 790} {
		text := sizedTree(services)
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		_, _ = w.Write(text)
		_ = w.Close()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tree, err := dynamic.Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			changed := bytes.Replace(text, []byte(`"timeoutMs":500`), []byte(`"timeoutMs":499`), 1)
			for b.Loop() {
				next, err := dynamic.ParseAfter(tree, changed)
				if err != nil || len(dynamic.Diff(tree, next)) != 1 {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(float64(len(text)), "tree-bytes")
			b.ReportMetric(float64(packed.Len()), "gzip-bytes")
		})
		runtime.KeepAlive(tree)
	}
}
