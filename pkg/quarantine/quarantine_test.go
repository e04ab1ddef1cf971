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

// Guards against a quarantine without broken connections on two backend servers or
// a report of a peer, after a response proved that the request runs, or longer after
// the last broken connection than a quarantine, its probation and one trial take.
// Breaks is 1 in the settings, which must not lower the minimum of two servers.
func TestEvidenceOnTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newList()
		now := time.Minute
		address := rapid.SampledFrom([]string{"a", "b", "c"})
		fp := rapid.Uint64Range(0, 4)
		lastBreaks := map[uint64]map[string]time.Duration{}
		// suspectUntil is how long a fingerprint may be refused after broken
		// connections on two servers, a report of a peer, or one broken connection
		// while it was suspect.
		suspectUntil := map[uint64]time.Duration{}
		const slack = 4 * time.Second // an incident may be confirmed 2 s after the broken connection
		t.Repeat(map[string]func(*rapid.T){
			"broken": func(t *rapid.T) {
				f, a := fp.Draw(t, "fp"), address.Draw(t, "address")
				l.Broken(now, f, a)
				if lastBreaks[f] == nil {
					lastBreaks[f] = map[string]time.Duration{}
				}
				lastBreaks[f][a] = now
				recent := 0
				for _, at := range lastBreaks[f] {
					if now-at < duration+slack {
						recent++
					}
				}
				if recent >= 2 || now < suspectUntil[f] {
					suspectUntil[f] = max(suspectUntil[f], now+2*duration+slack)
				}
			},
			"failed": func(t *rapid.T) { l.Failed(now, address.Draw(t, "address")) },
			"ran": func(t *rapid.T) {
				f := fp.Draw(t, "fp")
				l.Ran(now, f)
				if l.CheckBlocked(now, f) {
					return // only a quarantine after a failed trial remains in force
				}
				suspectUntil[f] = 0
				// Incidents that are not confirmed yet may still lead to blame.
				maps.DeleteFunc(lastBreaks[f], func(_ string, at time.Duration) bool { return now-at >= 2*time.Second })
				if len(lastBreaks[f]) >= 2 {
					suspectUntil[f] = now + 2*duration + slack
				}
			},
			"merge": func(t *rapid.T) {
				f, d := fp.Draw(t, "fp"), time.Duration(rapid.IntRange(-1, 100).Draw(t, "s"))*time.Second
				l.Merge(now, f, d)
				if d > 0 {
					suspectUntil[f] = max(suspectUntil[f], now+min(d, duration)+duration+slack)
				}
			},
			"time":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "step")) * ms },
			"times": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 90).Draw(t, "step")) * time.Second },
			"": func(t *rapid.T) {
				for f := range uint64(5) {
					if l.CheckBlocked(now, f) && now >= suspectUntil[f] {
						t.Fatalf("%d is blocked after broken connections %v at %s", f, lastBreaks[f], now)
					}
				}
			},
		})
		if n := len(l.ActiveQuarantines(now)); n > 5 {
			t.Fatalf("%d quarantines are active", n)
		}
	})
}

// Guards against a crashing request that is not quarantined and against the
// quarantine of an innocent request.
func TestIncidents(t *testing.T) {
	type step func(l *quarantine.List, at time.Duration)
	crashes := func(fp uint64, address string) step {
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
		{"one server", []step{crashes(crashing, "a"), crashes(crashing, "a"), crashes(crashing, "a")}, nil},
		{"two servers", []step{crashes(crashing, "a"), crashes(crashing, "b")}, []uint64{crashing}},
		{"broken connections without another failure", []step{breaks(crashing, "a"), breaks(crashing, "b")}, nil},
		{"confirmed by broken connections of other requests", []step{
			breaks(crashing, "a"), breaks(1, "a"), breaks(crashing, "b"), breaks(2, "b"),
		}, []uint64{crashing}},
		{"runs in between", []step{crashes(innocent, "a"), func(l *quarantine.List, at time.Duration) { l.Ran(at, innocent) }, crashes(innocent, "b")}, nil},
		{"one server fails all requests, another is crashed", []step{
			breaks(1, "a"), breaks(2, "a"), crashes(innocent, "a"), crashes(crashing, "b"), breaks(innocent, "b"),
		}, nil},
		{"two servers fail all requests for a long time", []step{
			breaks(1, "a"), breaks(2, "b"), crashes(innocent, "a"), crashes(innocent, "b"), crashes(innocent, "a"),
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
			for _, e := range l.ActiveQuarantines(at) {
				got = append(got, e.Fingerprint)
				require.Len(t, e.Addresses, 2)
			}
			require.Equal(t, tc.want, got)
			require.Equal(t, len(tc.want) > 0, l.CheckBlocked(at, crashing))
			require.False(t, l.CheckBlocked(at+duration, crashing))
			require.False(t, l.CheckBlocked(at+2*duration, crashing))
		})
	}
}

// Guards against unbounded memory for requests, servers or fingerprints of peers.
func TestTablesAreBounded(t *testing.T) {
	l := newList()
	for i := range 20000 {
		l.Broken(time.Minute, uint64(i), fmt.Sprint("a", i%2000))
		l.Merge(time.Minute, uint64(i)<<32, time.Second)
	}
	n := len(l.ActiveQuarantines(time.Minute))
	require.Greater(t, n, 800)
	require.LessOrEqual(t, n, 1024)
	require.Empty(t, l.ActiveQuarantines(time.Hour))
}

// Guards against a first quarantine that is as long as one after a failed trial,
// concurrent trials, more than one trial of a crashing request per duration of a
// quarantine, and an innocent request that is refused after it has run.
func TestProbation(t *testing.T) {
	crash := func(l *quarantine.List, at time.Duration, address string) {
		l.Broken(at, crashing, address)
		l.Failed(at, address)
	}
	newQuarantined := func() (*quarantine.List, time.Duration) {
		l, at := newList(), time.Minute
		crash(l, at, "a")
		crash(l, at, "b")
		crash(l, at+ms, "c") // the attempt began before the quarantine
		require.True(t, l.CheckBlocked(at+5*time.Second-ms, crashing))
		return l, at + 5*time.Second
	}
	t.Run("trial fails", func(t *testing.T) {
		l, at := newQuarantined()
		require.False(t, l.CheckBlocked(at, crashing), "the trial")
		require.True(t, l.CheckBlocked(at+ms, crashing), "during the trial")
		for _, address := range []string{"a", "d"} {
			crash(l, at+2*ms, address)
			at += 2*ms + duration
			require.True(t, l.CheckBlocked(at-ms, crashing))
			require.False(t, l.CheckBlocked(at, crashing), "the next trial")
			require.True(t, l.CheckBlocked(at+ms, crashing))
		}
		require.Empty(t, l.ActiveQuarantines(at), "fingerprints on probation are not exchanged")
		l.Ran(at+2*ms, crashing)
		require.False(t, l.CheckBlocked(at+3*ms, crashing))
		require.False(t, l.CheckBlocked(at+3*ms, crashing), "no longer on probation")
	})
	t.Run("trial without result", func(t *testing.T) {
		l, at := newQuarantined()
		require.False(t, l.CheckBlocked(at, crashing))
		require.True(t, l.CheckBlocked(at+999*ms, crashing))
		require.False(t, l.CheckBlocked(at+1000*ms, crashing))
	})
	t.Run("trial runs", func(t *testing.T) {
		l, at := newQuarantined()
		require.False(t, l.CheckBlocked(at, crashing))
		l.Ran(at+ms, crashing)
		require.False(t, l.CheckBlocked(at+2*ms, crashing))
		require.False(t, l.CheckBlocked(at+3*ms, crashing))
	})
	t.Run("response of an attempt in progress", func(t *testing.T) {
		l, at := newQuarantined()
		l.Ran(at-time.Second, crashing)
		require.False(t, l.CheckBlocked(at-time.Second, crashing))
	})
	t.Run("late response does not end a quarantine after a failed trial", func(t *testing.T) {
		l, at := newQuarantined()
		crash(l, at, "d")
		l.Ran(at+ms, crashing)
		require.True(t, l.CheckBlocked(at+2*ms, crashing))
	})
	t.Run("probation after a report of a peer", func(t *testing.T) {
		l := newList()
		l.Merge(0, crashing, 2*time.Second)
		require.True(t, l.CheckBlocked(2*time.Second-ms, crashing))
		require.False(t, l.CheckBlocked(2*time.Second, crashing))
		crash(l, 2*time.Second, "a")
		require.True(t, l.CheckBlocked(time.Minute, crashing))
		require.Len(t, l.ActiveQuarantines(time.Minute), 1)
	})
}

// reentrantRecorder calls the list while it records an event. The test deadlocks if
// the list records events while it holds its mutex.
type reentrantRecorder struct {
	list  *quarantine.List
	names []string
}

func (b *reentrantRecorder) Record(e *events.Event, _ ...events.Field) {
	b.names = append(b.names, e.Name)
	b.list.CheckBlocked(time.Minute, crashing)
}

// Guards against events that are lost, and against events that are recorded while
// the list is locked, so that a slow log stream would delay every request.
func TestEventsAreRecordedWithoutLock(t *testing.T) {
	recorder := &reentrantRecorder{}
	recorder.list = quarantine.New(settings, recorder)
	for _, address := range []string{"a", "b"} {
		recorder.list.Broken(time.Minute, crashing, address)
		recorder.list.Failed(time.Minute, address)
	}
	recorder.list.Merge(time.Minute, innocent, time.Second)
	recorder.list.ActiveQuarantines(time.Hour)
	require.Equal(t, []string{"request_quarantined", "quarantine_merged", "quarantine_over", "quarantine_over"}, recorder.names)
}

// Guards against equal fingerprints of different requests.
func TestFingerprint(t *testing.T) {
	seen := map[uint64]bool{}
	for _, r := range [][3]string{{"GET", "/a", ""}, {"GET", "/", "a"}, {"POST", "/a", ""}, {"POST", "/a", "b"}, {"POST", "/ab", ""}} {
		seen[quarantine.Fingerprint(r[0], r[1], []byte(r[2]))] = true
	}
	require.Len(t, seen, 5)
}

func BenchmarkCheckBlocked(b *testing.B) {
	for _, quarantined := range []int{0, 100} {
		b.Run(fmt.Sprint(quarantined), func(b *testing.B) {
			l := newList()
			for i := range quarantined {
				l.Merge(0, uint64(i), duration)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.CheckBlocked(ms, 5000)
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
