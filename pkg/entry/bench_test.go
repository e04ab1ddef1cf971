package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilpin/standin/backend"
)

// benchmarkGet measures sequential GET requests on one keep-alive connection.
// The difference between BenchmarkReadDirect and BenchmarkReadThroughEntry is
// the latency that an entry adds.
func benchmarkGet(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	url := "http://" + address + "/shop/items/1"
	b.ReportAllocs()
	latency := hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		start := time.Now()
		resp, err := client.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		_ = latency.RecordValue(int64(time.Since(start)))
	}
	b.ReportMetric(float64(latency.ValueAtPercentile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtPercentile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(latency.ValueAtPercentile(99.9))/1e6, "p999-ms")
}

func BenchmarkReadDirect(b *testing.B) {
	server, err := backend.Start(backend.Config{Listen: "127.0.0.1:0", ServiceTime: "const:0"})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	benchmarkGet(b, server.Address())
}

func BenchmarkReadThroughEntry(b *testing.B) {
	f := newFleet(b, 1, backend.Config{ServiceTime: "const:0"})
	benchmarkGet(b, f.callers(0))
}

// BenchmarkDrain measures the time from setting the drain signal at a backend
// server to the last new request that it receives, with six entries under load.
// Each iteration drains one backend server.
func BenchmarkDrain(b *testing.B) {
	const entries, callers = 6, 4
	var total, worst time.Duration
	for b.Loop() {
		b.StopTimer()
		f := newFleet(b, entries, fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend(), fastBackend())
		ctx, cancel := context.WithCancel(b.Context())
		var wg sync.WaitGroup
		for i := range entries * callers {
			wg.Go(func() {
				for ctx.Err() == nil {
					f.get(f.callers(i%entries), "/shop/items/1")
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		draining := f.backends[0]
		b.StartTimer()
		draining.SetFaults(backend.Faults{Drain: true})
		signaledAt := time.Now()
		last, requests := signaledAt, draining.Stats().Requests
		for time.Since(last) < 2*time.Second {
			if n := draining.Stats().Requests; n != requests {
				last, requests = time.Now(), n
			}
			time.Sleep(200 * time.Microsecond)
		}
		cancel()
		wg.Wait()
		elapsed := last.Sub(signaledAt)
		total, worst = total+elapsed, max(worst, elapsed)
		b.StopTimer()
		for i := range f.entries {
			f.stopEntry(i)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "ms/drain")
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}
