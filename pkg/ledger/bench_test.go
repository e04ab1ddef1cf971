package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentilpin/pkg/clock"
	"lentilpin/pkg/peer/peerpb"
)

func benchOwner() *Owner {
	return NewOwner(OwnerOptions{
		Address: address1, Incarnation: 1, Clock: clock.NewSystem(), MaxClaims: 1 << 30,
		Keyring: NewKeyring([]string{"0123456789abcdef0123456789abcdef"}),
	})
}

func BenchmarkIssue(b *testing.B) {
	o := benchOwner()
	b.ReportAllocs()
	for b.Loop() {
		o.Issue(10 * time.Minute)
	}
}

func BenchmarkIssueParallel(b *testing.B) {
	o := benchOwner()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			o.Issue(10 * time.Minute)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	o := benchOwner()
	other := NewKeyring([]string{"another secret", "0123456789abcdef0123456789abcdef"})
	key := o.Issue(10 * time.Minute)
	for name, ring := range map[string]*Keyring{"first": o.options.Keyring, "second": other} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := ring.verify(key); !ok {
					b.Fatal("not verified")
				}
			}
		})
	}
}

// BenchmarkClaimSettle is one key from issue to settle at its owner.
func BenchmarkClaimSettle(b *testing.B) {
	o := benchOwner()
	fp := make([]byte, 32)
	b.ReportAllocs()
	for b.Loop() {
		key := o.Issue(10 * time.Minute)
		resp := o.Claim(&peerpb.ClaimRequest{Key: key, Fingerprint: fp, RequestId: "entry-1-1234-1", GrantMs: 2000})
		o.Settle(&peerpb.SettleRequest{Key: key, Grant: resp.GetGrant(), Run: peerpb.Run_RUN_RAN})
	}
}

// BenchmarkRecordBytes reports the heap that one settled claim takes.
func BenchmarkRecordBytes(b *testing.B) {
	for _, body := range []int{-1, 256, 4096} {
		for _, n := range []int{1_000, 10_000, 200_000} {
			if body == 4096 && n == 200_000 {
				continue // above the replay bound, which the size 10000 shows as well
			}
			b.Run(fmt.Sprintf("body=%d/claims=%d", max(0, body), n), func(b *testing.B) {
				for b.Loop() {
					before := heap()
					o := benchOwner()
					for i := range n {
						fill(o, i, body)
					}
					b.ReportMetric(float64(heap()-before)/float64(n), "B/record")
					runtime.KeepAlive(o)
				}
			})
		}
	}
}

func fill(o *Owner, i, body int) {
	key := o.Issue(time.Duration(60+i%540) * time.Second)
	resp := o.Claim(&peerpb.ClaimRequest{Key: key, Fingerprint: make([]byte, 32), RequestId: fmt.Sprintf("entry-07-9f86d081884c7d65-%08d", i), GrantMs: 2000})
	settle := &peerpb.SettleRequest{Key: key, Grant: resp.GetGrant(), Run: peerpb.Run_RUN_RAN}
	if body >= 0 {
		settle.Answer = &peerpb.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, body), Whole: true}
	}
	o.Settle(settle)
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHandover is the export and adoption of a full ledger.
func BenchmarkHandover(b *testing.B) {
	p := newPair(OwnerOptions{})
	for i := range DefaultMaxClaims {
		fill(p.a, i, 256)
	}
	for b.Loop() {
		p.a.handover = handoverState{}
		p.b = NewOwner(p.b.options)
		p.owners[address2] = p.b
		if err := p.a.HandOver(context.Background(), p, address2); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(p.a.Chunks())), "chunks")
}
