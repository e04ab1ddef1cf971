package entry

import (
	"io"
	"net/http"
	"testing"

	"lentilpin/standin/backend"
)

// benchmarkGet measures sequential reads on one kept-alive connection; the
// difference between the two benchmarks is what an entry adds.
func benchmarkGet(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	url := "http://" + address + "/shop/items/1"
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}

func BenchmarkReadDirect(b *testing.B) {
	s, err := backend.Start(backend.Config{Listen: "127.0.0.1:0", ServiceTime: "const:0"})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	benchmarkGet(b, s.Address())
}

func BenchmarkReadThroughEntry(b *testing.B) {
	c := newCluster(b, 1, backend.Config{ServiceTime: "const:0"})
	benchmarkGet(b, c.callers(0))
}
