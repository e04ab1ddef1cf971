package routing_test

import (
	"fmt"
	"testing"
	"time"

	"lentilpin/pkg/routing"
)

// BenchmarkPick measures the time and allocations of Pick followed by EndAttempt,
// for each policy and several numbers of backend servers.
func BenchmarkPick(b *testing.B) {
	for _, policy := range policies {
		for _, n := range []int{10, 100, 1000} {
			set := newSet(b, policy, n)
			for i, s := range set.Servers() {
				s.SetLimit(1000)
				set.RecordProbeReply(0, s, routing.Report{Inflight: int32(i % 6), Slots: 6, Latency: time.Millisecond})
			}
			pickAndEnd := func() {
				s := set.Pick(time.Millisecond, nil)
				s.EndAttempt(time.Millisecond, time.Millisecond, routing.Success)
			}
			b.Run(fmt.Sprintf("%s/%d/serial", policy, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					pickAndEnd()
				}
			})
			b.Run(fmt.Sprintf("%s/%d/parallel", policy, n), func(b *testing.B) {
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						pickAndEnd()
					}
				})
			})
		}
	}
}
