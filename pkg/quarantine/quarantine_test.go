package quarantine_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/quarantine"
)

const (
	ms       = time.Millisecond
	duration = time.Minute
	crashing = uint64(7)
	innocent = uint64(8)
)

var settings = &dynamic.Service{AttemptTimeoutMS: 1000, Quarantine: dynamic.Quarantine{Breaks: 1, DurationMS: 60000}}

func newList() *quarantine.List {
	return quarantine.New(settings, events.Discard{})
}

// Guards against a quarantine without broken attempts on two backend servers or
// a peer's word, after a proof that the request runs, or long after the last
// break: at most a quarantine, its probation and one trial.
// Breaks is 1 in the settings, which must not weaken the rule.
func TestEvidenceOnTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newList()
		now := time.Minute
		address := rapid.SampledFrom([]string{"a", "b", "c"})
		fp := rapid.Uint64Range(0, 4)
		broke := map[uint64]map[string]time.Duration{}
		// suspect is until when a fingerprint may be refused: after breaks on two
		// servers, a peer's word, or one break while it was suspect.
		suspect := map[uint64]time.Duration{}
		const slack = 4 * time.Second // a break may be confirmed 2 s later
		t.Repeat(map[string]func(*rapid.T){
			"broken": func(t *rapid.T) {
				f, a := fp.Draw(t, "fp"), address.Draw(t, "address")
				l.Broken(now, f, a)
				if broke[f] == nil {
					broke[f] = map[string]time.Duration{}
				}
				broke[f][a] = now
				recent := 0
				for _, at := range broke[f] {
					if now-at < duration+slack {
						recent++
					}
				}
				if recent >= 2 || now < suspect[f] {
					suspect[f] = max(suspect[f], now+2*duration+slack)
				}
			},
			"failed": func(t *rapid.T) { l.Failed(now, address.Draw(t, "address")) },
			"ran": func(t *rapid.T) {
				f := fp.Draw(t, "fp")
				l.Ran(now, f)
				if l.Blocked(now, f) {
					return // only a second quarantine stays
				}
				suspect[f] = 0
				// Blame may still follow from incidents that are not confirmed.
				maps.DeleteFunc(broke[f], func(_ string, at time.Duration) bool { return now-at >= 2*time.Second })
				if len(broke[f]) >= 2 {
					suspect[f] = now + 2*duration + slack
				}
			},
			"merge": func(t *rapid.T) {
				f, d := fp.Draw(t, "fp"), time.Duration(rapid.IntRange(-1, 100).Draw(t, "s"))*time.Second
				l.Merge(now, f, d)
				if d > 0 {
					suspect[f] = max(suspect[f], now+min(d, duration)+duration+slack)
				}
			},
			"time":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "step")) * ms },
			"times": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 90).Draw(t, "step")) * time.Second },
			"": func(t *rapid.T) {
				for f := range uint64(5) {
					if l.Blocked(now, f) && now >= suspect[f] {
						t.Fatalf("%d is blocked after breaks %v at %s", f, broke[f], now)
					}
				}
			},
		})
		if n := len(l.Active(now)); n > 5 {
			t.Fatalf("%d active", n)
		}
	})
}

// Guards against a crash-making request that goes on and against an innocent one
// that is taken for it.
func TestIncidents(t *testing.T) {
	type step func(l *quarantine.List, at time.Duration)
	crash := func(fp uint64, address string) step {
		return func(l *quarantine.List, at time.Duration) {
			l.Broken(at, fp, address)
			l.Failed(at+300*ms, address)
		}
	}
	breaks := func(fp uint64, address string) step {
		return func(l *quarantine.List, at time.Duration) { l.Broken(at, fp, address) }
	}
	tests := []struct {
		desc  string
		steps []step // 500 ms apart
		want  []uint64
	}{
		{"one server", []step{crash(crashing, "a"), crash(crashing, "a"), crash(crashing, "a")}, nil},
		{"two servers", []step{crash(crashing, "a"), crash(crashing, "b")}, []uint64{crashing}},
		{"breaks without another failure", []step{breaks(crashing, "a"), breaks(crashing, "b")}, nil},
		{"confirmed by others that broke", []step{
			breaks(crashing, "a"), breaks(1, "a"), breaks(crashing, "b"), breaks(2, "b"),
		}, []uint64{crashing}},
		{"runs in between", []step{crash(innocent, "a"), func(l *quarantine.List, at time.Duration) { l.Ran(at, innocent) }, crash(innocent, "b")}, nil},
		{"a server that fails all meets one that is crashed", []step{
			breaks(1, "a"), breaks(2, "a"), crash(innocent, "a"), crash(crashing, "b"), breaks(innocent, "b"),
		}, nil},
		{"two servers that fail for long", []step{
			breaks(1, "a"), breaks(2, "b"), crash(innocent, "a"), crash(innocent, "b"), crash(innocent, "a"),
		}, nil},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			l := newList()
			at := time.Minute
			for _, s := range tc.steps {
				s(l, at)
				at += 500 * ms
			}
			var got []uint64
			for _, e := range l.Active(at) {
				got = append(got, e.Fingerprint)
				require.Len(t, e.Addresses, 2)
			}
			require.Equal(t, tc.want, got)
			require.Equal(t, len(tc.want) > 0, l.Blocked(at, crashing))
			require.False(t, l.Blocked(at+duration, crashing))
			require.False(t, l.Blocked(at+2*duration, crashing))
		})
	}
}

// Guards against memory that grows with the number of requests, servers or
// fingerprints of peers.
func TestBounds(t *testing.T) {
	l := newList()
	for i := range 20000 {
		l.Broken(time.Minute, uint64(i), fmt.Sprint("a", i%2000))
		l.Merge(time.Minute, uint64(i)<<32, time.Second)
	}
	n := len(l.Active(time.Minute))
	require.Greater(t, n, 800)
	require.LessOrEqual(t, n, 1024)
	require.Empty(t, l.Active(time.Hour))
}

// Guards against a first quarantine as long as one after a failed trial, trials
// beside each other, a crash-making request that gets more than one trial in a
// quarantine's duration, and an innocent one that is refused after it has run.
func TestProbation(t *testing.T) {
	crash := func(l *quarantine.List, at time.Duration, address string) {
		l.Broken(at, crashing, address)
		l.Failed(at, address)
	}
	quarantined := func() (*quarantine.List, time.Duration) {
		l, at := newList(), time.Minute
		crash(l, at, "a")
		crash(l, at, "b")
		crash(l, at+ms, "c") // begun before the verdict
		require.True(t, l.Blocked(at+5*time.Second-ms, crashing))
		return l, at + 5*time.Second
	}
	t.Run("trial fails", func(t *testing.T) {
		l, at := quarantined()
		require.False(t, l.Blocked(at, crashing), "the trial")
		require.True(t, l.Blocked(at+ms, crashing), "beside the trial")
		for _, address := range []string{"a", "d"} {
			crash(l, at+2*ms, address)
			at += 2*ms + duration
			require.True(t, l.Blocked(at-ms, crashing))
			require.False(t, l.Blocked(at, crashing), "the next trial")
			require.True(t, l.Blocked(at+ms, crashing))
		}
		require.Empty(t, l.Active(at), "what is on probation is not exchanged")
		l.Ran(at+2*ms, crashing)
		require.False(t, l.Blocked(at+3*ms, crashing))
		require.False(t, l.Blocked(at+3*ms, crashing), "no longer on probation")
	})
	t.Run("trial without result", func(t *testing.T) {
		l, at := quarantined()
		require.False(t, l.Blocked(at, crashing))
		require.True(t, l.Blocked(at+999*ms, crashing))
		require.False(t, l.Blocked(at+1000*ms, crashing))
	})
	t.Run("trial runs", func(t *testing.T) {
		l, at := quarantined()
		require.False(t, l.Blocked(at, crashing))
		l.Ran(at+ms, crashing)
		require.False(t, l.Blocked(at+2*ms, crashing))
		require.False(t, l.Blocked(at+3*ms, crashing))
	})
	t.Run("an attempt in progress runs", func(t *testing.T) {
		l, at := quarantined()
		l.Ran(at-time.Second, crashing)
		require.False(t, l.Blocked(at-time.Second, crashing))
	})
	t.Run("a late response does not end a second quarantine", func(t *testing.T) {
		l, at := quarantined()
		crash(l, at, "d")
		l.Ran(at+ms, crashing)
		require.True(t, l.Blocked(at+2*ms, crashing))
	})
	t.Run("probation after a peer's word", func(t *testing.T) {
		l := newList()
		l.Merge(0, crashing, 2*time.Second)
		require.True(t, l.Blocked(2*time.Second-ms, crashing))
		require.False(t, l.Blocked(2*time.Second, crashing))
		crash(l, 2*time.Second, "a")
		require.True(t, l.Blocked(time.Minute, crashing))
		require.Len(t, l.Active(time.Minute), 1)
	})
}

// blocking is a recorder that asks the list, as a log stream that is slow for a
// while would let requests do.
type blocking struct {
	l     *quarantine.List
	names []string
}

func (b *blocking) Record(e *events.Event, _ ...events.Field) {
	b.names = append(b.names, e.Name)
	b.l.Blocked(time.Minute, crashing)
}

// Guards against events that are lost or are recorded while the list is locked,
// which would hold up every request behind the log stream.
func TestEventsAreRecordedUnlocked(t *testing.T) {
	b := &blocking{}
	b.l = quarantine.New(settings, b)
	for _, address := range []string{"a", "b"} {
		b.l.Broken(time.Minute, crashing, address)
		b.l.Failed(time.Minute, address)
	}
	b.l.Merge(time.Minute, innocent, time.Second)
	b.l.Active(time.Hour)
	require.Equal(t, []string{"request_quarantined", "quarantine_merged", "quarantine_over", "quarantine_over"}, b.names)
}

// Guards against different requests with one fingerprint.
func TestFingerprint(t *testing.T) {
	seen := map[uint64]bool{}
	for _, r := range [][3]string{{"GET", "/a", ""}, {"GET", "/", "a"}, {"POST", "/a", ""}, {"POST", "/a", "b"}, {"POST", "/ab", ""}} {
		seen[quarantine.Fingerprint(r[0], r[1], []byte(r[2]))] = true
	}
	require.Len(t, seen, 5)
}

func BenchmarkBlocked(b *testing.B) {
	for _, held := range []int{0, 100} {
		b.Run(fmt.Sprint(held), func(b *testing.B) {
			l := newList()
			for i := range held {
				l.Merge(0, uint64(i), duration)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Blocked(ms, 5000)
			}
		})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1024)
	b.ReportAllocs()
	for b.Loop() {
		quarantine.Fingerprint("POST", "/tilaus/orders", body)
	}
}
