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

var benchSecret = "0123456789abcdef0123456789abcdef"

func newBenchOwner() *Owner {
	return NewOwner(OwnerOptions{
		Address: "10.1.2.3:7001", Incarnation: 1, Clock: clock.NewSystem(), MaxClaims: 1 << 30, Keyring: NewKeyring([]string{benchSecret}),
	})
}

func BenchmarkIssue(b *testing.B) {
	o := newBenchOwner()
	b.ReportAllocs()
	for b.Loop() {
		o.Issue(10 * time.Minute)
	}
}

func BenchmarkVerify(b *testing.B) {
	key := newBenchOwner().Issue(10 * time.Minute)
	for name, secrets := range map[string][]string{"first": {benchSecret}, "second": {"another", benchSecret}} {
		b.Run(name+"Secret", func(b *testing.B) {
			keyring := NewKeyring(secrets)
			b.ReportAllocs()
			for b.Loop() {
				keyring.verify(key)
			}
		})
	}
}

// BenchmarkClaimSettle measures one key from issue to settle at its owner.
func BenchmarkClaimSettle(b *testing.B) {
	o := newBenchOwner()
	b.ReportAllocs()
	for b.Loop() {
		issueClaimSettle(o, "entry-07-9f86d081884c7d65-00000001", 0)
	}
}

// issueClaimSettle issues, claims and settles one key with a response body of
// the given size in bytes, or without a response if the size is 0.
func issueClaimSettle(o *Owner, id string, body int) {
	key := o.Issue(10 * time.Minute)
	resp := o.Claim(&peerpb.ClaimRequest{Key: key, Fingerprint: make([]byte, 32), RequestId: id, GrantMs: 2000})
	settle := &peerpb.SettleRequest{Key: key, Grant: resp.GetGrant(), Run: peerpb.Run_RUN_RAN}
	if body > 0 {
		settle.Answer = &peerpb.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, body), Whole: true}
	}
	o.Settle(settle)
}

func fillLedger(o *Owner, n, body int) {
	for i := range n {
		issueClaimSettle(o, fmt.Sprintf("entry-07-9f86d081884c7d65-%08d", i), body)
	}
}

// BenchmarkRecordBytes reports the heap size of one settled claim. The case of
// 4096 bytes and 200000 claims is omitted because it exceeds MaxReplayBytes.
func BenchmarkRecordBytes(b *testing.B) {
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, c := range [][2]int{{0, 1000}, {0, 10_000}, {0, 200_000}, {256, 1000}, {256, 10_000}, {256, 200_000}, {4096, 1000}, {4096, 10_000}} {
		b.Run(fmt.Sprintf("body=%d/claims=%d", c[0], c[1]), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				o := newBenchOwner()
				fillLedger(o, c[1], c[0])
				b.ReportMetric(float64(heap()-before)/float64(c[1]), "B/record")
				runtime.KeepAlive(o)
			}
		})
	}
}

// BenchmarkHandover measures the export and adoption of a full ledger.
func BenchmarkHandover(b *testing.B) {
	f := newReliableFleet(b)
	from, to := f.instances[0], f.instances[1]
	from.chunkBytes = defaultChunkBytes
	fillLedger(from.Owner, DefaultMaxClaims, 256)
	for b.Loop() {
		from.handover = handoverState{}
		to.Owner = NewOwner(to.options)
		if err := from.HandOver(context.Background(), from, to.address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(from.Export())), "chunks")
}
