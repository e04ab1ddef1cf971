package outlier_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/routing"
)

const ms = time.Millisecond

func settings() *dynamic.Service {
	return &dynamic.Service{Outlier: dynamic.Outlier{
		ErrorRatio: 0.5, MinRequests: 10, EjectMS: 5000, MaxEjectMS: 20000, MaxEjectRatio: 0.33,
		SlowStartMS: 5000, DrainHoldMS: 30000, LatencyFactor: 5, HealthPeriodMS: 5000,
	}}
}

func addresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("10.0.0.%d:80", i+10)
	}
	return out
}

// reentrantRecorder calls the detector while it records an event. The test
// deadlocks if the detector records events while it holds its mutex, in which case
// a slow log stream would delay responses.
type reentrantRecorder struct {
	names    []string
	detector *outlier.Detector
}

func (r *reentrantRecorder) Record(e *events.Event, _ ...events.Field) {
	r.names = append(r.names, e.Name)
	if r.detector != nil {
		r.detector.DrainingAddresses(0)
	}
}

// fixture drives a detector as the gateway does and tracks the applied weights.
type fixture struct {
	*outlier.Detector
	now      time.Duration
	list     []string
	weights  map[string]float64
	recorder reentrantRecorder
}

func newFixture(s *dynamic.Service, n int) *fixture {
	f := &fixture{now: time.Minute, weights: map[string]float64{}}
	f.Detector = outlier.New(s, &f.recorder)
	f.recorder.detector = f.Detector
	f.update(addresses(n))
	return f
}

func (f *fixture) update(list []string) {
	old := f.weights
	f.list, f.weights = list, map[string]float64{}
	for _, a := range list {
		w, ok := old[a]
		if !ok {
			w = 1
		}
		f.weights[a] = w
	}
	f.Update(f.now, list)
	f.sweep()
}

func (f *fixture) sweep() {
	for _, c := range f.Sweep(f.now) {
		if _, listed := f.weights[c.Address]; listed {
			f.weights[c.Address] = c.Weight
		}
	}
}

func (f *fixture) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now = min(end, f.now+100*ms)
		f.sweep()
	}
}

func (f *fixture) record(address string, n int, latency time.Duration, o routing.Outcome) {
	for range n {
		f.Record(f.now, address, latency, o)
	}
}

// simulateTraffic records n attempts with the given latency and outcome at each
// affected server and n fast, successful attempts at each other server.
func (f *fixture) simulateTraffic(n int, latency time.Duration, o routing.Outcome, affected ...string) {
	for _, a := range f.list {
		if slices.Contains(affected, a) {
			f.record(a, n, latency, o)
		} else {
			f.record(a, n, 10*ms, routing.Success)
		}
	}
	f.sweep()
}

// sustain repeats simulateTraffic five times a second for the duration d.
func (f *fixture) sustain(d time.Duration, n int, latency time.Duration, o routing.Outcome, affected ...string) {
	for end := f.now + d; f.now < end; {
		f.simulateTraffic(n, latency, o, affected...)
		f.advance(200 * ms)
	}
}

func (f *fixture) state(address string) outlier.State {
	info, _ := f.ServerInfo(f.now, address)
	return info.State
}

// Guards against more ejections than the limit allows, a nonzero weight of a
// draining server (whatever the list and health checks say), a drain mark that is
// lost or prolonged when peers forward it, and a server that is never readmitted.
func TestDetectorInvariants(t *testing.T) {
	allAddresses := addresses(9)
	address := rapid.SampledFrom(allAddresses)
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.Outlier.DrainHoldMS, s.Outlier.EjectMS, s.Outlier.MaxEjectMS, s.Outlier.SlowStartMS = 3000, 500, 2000, 1000
		s.Outlier.MaxEjectRatio = rapid.SampledFrom([]float64{0, 0.33, 0.5, 1}).Draw(t, "ratio")
		hold := dynamic.MillisToDuration(s.Outlier.DrainHoldMS)
		f := newFixture(s, 6)
		seen := map[string]time.Duration{}            // model: time of the newest original drain signal
		zeroWeightSince := map[string]time.Duration{} // model: when a server without a mark got weight 0
		draining := func(a string) bool { at, ok := seen[a]; return ok && f.now < at+hold }
		mark := func(a string, at time.Duration) {
			if old, ok := seen[a]; at+hold > f.now && (!ok || at > old) {
				seen[a] = at
			}
		}
		sources := rapid.SampledFrom([]string{outlier.SourceResponse, outlier.SourcePeer, outlier.SourceList, outlier.SourceHealth})
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				f.update(rapid.SliceOfNDistinct(address, 1, 9, rapid.ID[string]).Draw(t, "list"))
			},
			"attempts": func(t *rapid.T) {
				o := routing.Outcome(rapid.Uint8Range(0, 5).Draw(t, "outcome"))
				f.record(address.Draw(t, "address"), rapid.IntRange(1, 20).Draw(t, "n"), time.Duration(rapid.IntRange(1, 500).Draw(t, "latency"))*ms, o)
			},
			"good traffic": func(t *rapid.T) { f.simulateTraffic(10, 0, routing.Success) },
			"bad servers": func(t *rapid.T) {
				f.simulateTraffic(10, 0, routing.Broken, address.Draw(t, "address"), address.Draw(t, "second"))
				f.advance(time.Second)
			},
			"drain": func(t *rapid.T) {
				a := address.Draw(t, "address")
				f.MarkDraining(f.now, a, sources.Draw(t, "source"))
				mark(a, f.now)
			},
			"mark of a peer": func(t *rapid.T) {
				a := address.Draw(t, "address")
				at := f.now - time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "age"))*ms
				f.Merge(f.now, at, a, outlier.SourcePeer)
				mark(a, min(at, f.now))
			},
			"own and older marks come back": func(t *rapid.T) {
				for _, m := range f.ActiveDrainMarks(f.now) {
					f.Merge(f.now, m.SignaledAt, m.Address, outlier.SourcePeer)
					f.Merge(f.now, m.SignaledAt-500*ms, m.Address, outlier.SourcePeer)
				}
			},
			"health": func(t *rapid.T) {
				f.Health(f.now, address.Draw(t, "address"), rapid.Bool().Draw(t, "ok"))
			},
			"time": func(t *rapid.T) { f.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "step")) * ms },
			"": func(t *rapid.T) {
				f.sweep()
				active, ejected := 0, 0
				var marked []string
				for _, a := range allAddresses {
					if draining(a) {
						marked = append(marked, a)
					}
				}
				if got := f.DrainingAddresses(f.now); !slices.Equal(got, marked) {
					t.Fatalf("draining addresses %v, want %v", got, marked)
				}
				for a, w := range f.weights {
					if draining(a) {
						if w != 0 {
							t.Fatalf("%s is draining but has weight %v", a, w)
						}
						delete(zeroWeightSince, a)
						continue
					}
					active++
					if w > 0 {
						delete(zeroWeightSince, a)
						continue
					}
					ejected++
					if since, ok := zeroWeightSince[a]; !ok {
						zeroWeightSince[a] = f.now
					} else if f.now-since > 2*dynamic.MillisToDuration(s.Outlier.MaxEjectMS) {
						t.Fatalf("%s has had weight 0 for %s", a, f.now-since)
					}
				}
				for a := range zeroWeightSince {
					if _, listed := f.weights[a]; !listed {
						delete(zeroWeightSince, a)
					}
				}
				if float64(ejected) > s.Outlier.MaxEjectRatio*float64(active) {
					t.Fatalf("%d of %d servers are ejected", ejected, active)
				}
			},
		})
	})
}

// Guards against the ejection of servers that are not outliers and against outliers
// that are not ejected.
func TestEjection(t *testing.T) {
	faulty := addresses(6)[2]
	tests := []struct {
		desc    string
		apply   func(f *fixture)
		ejected bool
	}{
		{"fails fast", func(f *fixture) { f.simulateTraffic(10, ms, routing.ErrorResponse, faulty) }, true},
		{"breaks connections", func(f *fixture) { f.simulateTraffic(10, ms, routing.Broken, faulty) }, true},
		{"times out", func(f *fixture) { f.simulateTraffic(10, time.Second, routing.Timeout, faulty) }, true},
		{"slow", func(f *fixture) { f.sustain(3*time.Second, 10, 200*ms, routing.Success, faulty) }, true},
		{"slow twice, each time for at most 1 s", func(f *fixture) {
			f.sustain(time.Second, 10, 200*ms, routing.Success, faulty)
			f.sustain(3*time.Second, 10, 10*ms, routing.Success, faulty)
			f.sustain(600*ms, 10, 200*ms, routing.Success, faulty)
		}, false},
		{"slow, too few attempts", func(f *fixture) {
			for range 6 {
				f.record(faulty, 3, 200*ms, routing.Success)
				f.sustain(time.Second, 10, 0, routing.Shed, faulty)
			}
		}, false},
		{"slow, all its attempts canceled as losers of hedges", func(f *fixture) { f.sustain(3*time.Second, 10, 200*ms, routing.Canceled, faulty) }, true},
		{"a little slower", func(f *fixture) { f.sustain(3*time.Second, 10, 30*ms, routing.Success, faulty) }, false},
		{"all become slow at once, one received no requests before", func(f *fixture) {
			f.sustain(5*time.Second, 100, 0, routing.Shed, faulty)
			f.sustain(5*time.Second, 10, 300*ms, routing.Success, f.list...)
		}, false},
		{"all recover from overload, one has received few requests since", func(f *fixture) {
			f.sustain(5*time.Second, 10, 300*ms, routing.Success, f.list...)
			f.record(faulty, 1, 10*ms, routing.Success)
			f.sustain(5*time.Second, 10, 0, routing.Shed, faulty)
		}, false},
		{"fails fast after many successful attempts", func(f *fixture) {
			f.sustain(9*time.Second, 100, 10*ms, routing.Success, faulty)
			f.sustain(2*time.Second, 2, ms, routing.ErrorResponse, faulty)
		}, true},
		{"all recover from failures, one has received few requests since", func(f *fixture) {
			f.sustain(2*time.Second, 10, ms, routing.Broken, f.list...)
			for range 10 {
				f.simulateTraffic(100, 0, routing.Shed, faulty)
				f.record(faulty, 3, 10*ms, routing.Success)
				f.advance(200 * ms)
			}
		}, false},
		{"sheds", func(f *fixture) { f.simulateTraffic(100, ms, routing.Shed, faulty) }, false},
		{"too few attempts", func(f *fixture) { f.simulateTraffic(9, ms, routing.Broken, faulty) }, false},
		{"all fail alike", func(f *fixture) { f.simulateTraffic(10, ms, routing.Broken, f.list...) }, false},
		{"failures outside the window", func(f *fixture) {
			f.record(faulty, 9, ms, routing.Broken)
			f.advance(15 * time.Second)
			f.record(faulty, 1, ms, routing.Broken)
			f.sweep()
		}, false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFixture(settings(), 6)
			tc.apply(f)
			f.advance(time.Second) // the minimum duration for errors
			require.Equal(t, tc.ejected, f.weights[faulty] == 0)
			require.Equal(t, tc.ejected, slices.Contains(f.recorder.names, "backend_ejected"))
		})
	}
}

// Guards against ejections of constant duration, readmission at full weight, a
// health endpoint that ends an ejection early or postpones readmission without
// limit, and a count of ejections that never decreases.
func TestReadmission(t *testing.T) {
	f := newFixture(settings(), 6)
	faulty := f.list[0]
	eject := func() time.Duration {
		f.simulateTraffic(10, ms, routing.Broken, faulty)
		f.advance(time.Second)
		require.Equal(t, outlier.StateEjected, f.state(faulty))
		ejectedAt := f.now
		f.Health(f.now, faulty, true)
		for f.state(faulty) == outlier.StateEjected {
			f.advance(100 * ms)
		}
		require.InDelta(t, 0.1, f.weights[faulty], 0.02)
		return f.now - ejectedAt
	}
	require.Equal(t, []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 20 * time.Second},
		[]time.Duration{eject(), eject(), eject(), eject()})
	f.advance(2500 * ms)
	f.Health(f.now, faulty, false)
	require.InDelta(t, 0.55, f.weights[faulty], 0.02)
	f.advance(3 * time.Second)
	require.Equal(t, 1.0, f.weights[faulty])
	f.advance(80 * time.Second)
	require.Equal(t, 5*time.Second, eject())

	f.advance(80 * time.Second)
	f.simulateTraffic(10, ms, routing.Broken, faulty)
	f.advance(time.Second)
	for range 19 {
		f.Health(f.now, faulty, false)
		f.advance(time.Second)
		require.Equal(t, outlier.StateEjected, f.state(faulty))
	}
	f.advance(time.Second)
	require.Equal(t, outlier.StateSlowStart, f.state(faulty))
}

// Guards against new servers that start at full weight, and against slow start of
// all servers of a new service or of most servers after the list more than doubled.
func TestNewServers(t *testing.T) {
	f := newFixture(settings(), 4)
	require.Equal(t, 1.0, f.weights[f.list[3]], "all servers are new")
	f.update(addresses(6))
	require.Equal(t, []float64{1, 0.1, 0.1}, []float64{f.weights[f.list[3]], f.weights[f.list[4]], f.weights[f.list[5]]})
	f.advance(5 * time.Second)
	require.Equal(t, 1.0, f.weights[f.list[5]])
	f.update(addresses(15))
	require.Equal(t, 1.0, f.weights[f.list[14]], "more than half are new")
}

// Guards against a drain mark or ejection that ends because the server was removed
// from the list and added again, a drain without events, and readmission at full
// weight after a drain.
func TestDrainMarkSurvivesListChange(t *testing.T) {
	f := newFixture(settings(), 6)
	leaving, failing := f.list[1], f.list[2]
	f.simulateTraffic(10, ms, routing.Broken, failing)
	f.advance(time.Second)
	f.MarkDraining(f.now, leaving, outlier.SourceResponse)
	f.sweep()
	f.update([]string{f.list[0]})
	f.advance(time.Second)
	f.update(addresses(6))
	require.Equal(t, outlier.StateDraining, f.state(leaving))
	require.Equal(t, outlier.StateEjected, f.state(failing))
	f.advance(28900 * ms)
	require.Zero(t, f.weights[leaving])
	f.advance(100 * ms)
	require.Equal(t, 0.1, f.weights[leaving])
	require.Subset(t, f.recorder.names, []string{"backend_draining", "backend_drain_ended"})
}

// Guards against unbounded memory for drain marks of servers that do not exist.
func TestDrainMarksAreBounded(t *testing.T) {
	f := newFixture(settings(), 1)
	for i := range 3000 {
		f.MarkDraining(f.now, fmt.Sprint(i), outlier.SourcePeer)
	}
	require.Len(t, f.DrainingAddresses(f.now), 1024)
}

func BenchmarkRecord(b *testing.B) {
	f := newFixture(settings(), 20)
	b.ReportAllocs()
	for b.Loop() {
		f.Record(f.now, "10.0.0.20:80", 10*ms, routing.Success)
	}
}

func BenchmarkSweep(b *testing.B) {
	f := newFixture(settings(), 20)
	f.simulateTraffic(20, 0, routing.Success)
	b.ReportAllocs()
	for b.Loop() {
		f.Sweep(f.now)
	}
}
