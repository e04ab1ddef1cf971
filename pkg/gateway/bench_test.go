package gateway

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/settings"
)

// backendsPerService is the mean that users plan for: 15,000 backend servers in
// 790 services.
const backendsPerService = 19

func newSizedGateway(b *testing.B, services, ceiling int) *Gateway {
	var nodes []string
	var list []platform.Instance
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		nodes = append(nodes, fmt.Sprintf("%q: {\"timeoutMs\": %d}", name, 500+i))
		for j := range backendsPerService {
			list = append(list, platform.Instance{
				Kind: platform.KindBackend, Service: name, State: platform.StateLive,
				Address: fmt.Sprintf("10.%d.%d.%d:80", i/256, i%256, j), FailureDomain: fmt.Sprintf("fd-%d", j%3),
			})
		}
	}
	c := timeClock{}
	keyring := ledger.NewKeyring([]string{strings.Repeat("k", 32)})
	store := settings.NewStore(events.Discard{}, c)
	g := New(Options{
		Instance: "e", Region: "r", FailureDomain: "fd-0", Store: store, Log: audit.New(10, 10),
		Owner:    ledger.NewOwner(ledger.OwnerOptions{Address: "127.0.0.1:1", Clock: c, Keyring: keyring}),
		Recorder: events.Discard{}, Scope: tally.NoopScope,
		OrdinalConflict: func() bool { return true }, NotifyPeers: func() {}, Instances: func() int { return 1 }, Ready: func() (bool, string) { return true, "" },
	})
	tree := fmt.Sprintf(`{"version": 1, "fleet": {"defaults": {"instanceCeiling": %d}}, "regions": {"r": {"services": {%s}}}}`, ceiling, strings.Join(nodes, ","))
	if r := store.Offer([]byte(tree), "bench"); r != settings.ResultAdopted {
		b.Fatal(r)
	}
	g.UpdateInstances(list)
	return g
}

// BenchmarkServices measures the slopes in docs/CAPACITY.md: memory of one
// entry per service and time of the periodic work.
func BenchmarkServices(b *testing.B) {
	for _, ceiling := range []int{40, 600} {
		for _, services := range []int{80, 240, 790} {
			benchmarkServices(b, services, ceiling)
		}
	}
}

func benchmarkServices(b *testing.B, services, ceiling int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g := newSizedGateway(b, services, ceiling)
	runtime.GC()
	runtime.ReadMemStats(&after)
	heap := float64(after.HeapAlloc - before.HeapAlloc)
	b.Run(fmt.Sprintf("second-idle/entries=%d/services=%d", ceiling, services), func(b *testing.B) {
		benchmarkSecond(b, g, func() {})
		b.ReportMetric(heap/1e6, "heap-MB")
	})
	b.Run(fmt.Sprintf("second-busy/entries=%d/services=%d", ceiling, services), func(b *testing.B) {
		benchmarkSecond(b, g, func() {
			for _, s := range g.current.Load().list {
				s.lastAttempt.Store(int64(s.now()))
			}
		})
	})
	b.Run(fmt.Sprintf("share/entries=%d/services=%d", ceiling, services), func(b *testing.B) {
		src := g.PeerState()
		for b.Loop() {
			_, _ = src.Drains(), src.Quarantines()
		}
	})
	g.Close()
}

// benchmarkSecond runs the periodic work of one second.
func benchmarkSecond(b *testing.B, g *Gateway, beforeEach func()) {
	var probes sync.WaitGroup
	for b.Loop() {
		beforeEach()
		for tick := range int(time.Second / tickInterval) {
			g.runPeriodic(context.Background(), tick, &probes)
		}
	}
}
