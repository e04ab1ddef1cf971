package routing_test

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

var policies = []string{"lentilpin", "prequal", "random", "roundrobin", "leastoutstanding", "p2c", "p2creported"}

func settings(t testing.TB, policy string) *dynamic.Service {
	t.Helper()
	tree, err := dynamic.Parse(fmt.Appendf(nil, `{"version":1,"regions":{"r":{"services":{"s":{"routing":{"policy":%q}}}}}}`, policy))
	require.NoError(t, err)
	s := tree.Lookup("r", "s").Service
	return &s
}

func backends(n int) []routing.Backend {
	var list []routing.Backend
	for i := range n {
		list = append(list, routing.Backend{Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: string(rune('a' + i%3))})
	}
	return list
}

func newSet(t testing.TB, policy string, n int) *routing.Set {
	t.Helper()
	set, err := routing.NewSet(routing.Options{Service: "s", FailureDomain: "a", Seed: 1, Settings: settings(t, policy)})
	require.NoError(t, err)
	set.Update(0, backends(n))
	return set
}

// Guards against a policy that exceeds a limit, selects a backend server of
// weight 0 or an excluded backend server, or misses the last backend server that
// has capacity.
func TestPickRespectsLimitWeightAndExclude(t *testing.T) {
	for _, policy := range policies {
		t.Run(policy, func(t *testing.T) {
			set := newSet(t, policy, 100)
			servers := set.Servers()
			servers[3].SetWeight(0)
			servers[4].SetLimit(1)
			exclude := []*routing.Server{servers[5]}
			picked := map[*routing.Server]int32{}
			for range 98*6 - 5 {
				s := set.Pick(0, exclude)
				require.NotNil(t, s)
				picked[s]++
			}
			require.Nil(t, set.Pick(0, exclude))
			for s, n := range picked {
				require.Equal(t, s.Limit(), n)
			}
			require.Zero(t, picked[servers[3]]+picked[servers[5]])
			servers[7].EndAttempt(time.Millisecond, time.Millisecond, routing.Success)
			require.Same(t, servers[7], set.Pick(time.Millisecond, exclude))
			servers[3].SetWeight(1)
			require.Same(t, servers[3], set.Pick(time.Millisecond, exclude))
		})
	}
}

// Guards against policies that ignore the weight of a backend server, which
// would make slow start ineffective: at weight 0.1 a backend server must get
// less than half of its fair share from every policy.
func TestWeightReducesShare(t *testing.T) {
	for _, policy := range policies {
		t.Run(policy, func(t *testing.T) {
			set := newSet(t, policy, 12)
			low := set.Servers()[0]
			low.SetWeight(0.1)
			n := 0
			for i := range 4000 {
				now := time.Duration(i) * time.Millisecond
				s := set.Pick(now, nil)
				if s == low {
					n++
				}
				set.RecordProbeReply(now, set.Servers()[i%12], routing.Report{Inflight: 1, Slots: 6})
				s.RecordReport(now, routing.Report{Inflight: 1, Slots: 6}, 0)
				s.EndAttempt(now, time.Millisecond, routing.Success)
			}
			fairShare := 4000 / 12
			if policy == "lentilpin" {
				fairShare = 4000 / 4 // four backend servers are in the own failure domain
			}
			require.Less(t, n, fairShare/2)
		})
	}
}

// Guards against leaked in-flight counts, a limit that concurrent calls of Pick
// exceed, and a backend server that stays marked as full after its attempts have
// ended. Run with -race.
func TestConcurrentUse(t *testing.T) {
	const limit = 2
	for _, policy := range policies {
		t.Run(policy, func(t *testing.T) {
			set := newSet(t, policy, 30)
			held := map[*routing.Server]*atomic.Int32{}
			for _, s := range set.Servers() {
				s.SetLimit(limit)
				held[s] = &atomic.Int32{}
			}
			var wg sync.WaitGroup
			for g := range 80 {
				wg.Go(func() {
					for i := range 100 {
						now := time.Duration(i) * time.Millisecond
						if g == 0 {
							set.Update(now, backends(20+i%11))
							set.Servers()[i%20].SetWeight(float64(i % 3))
						}
						s := set.Pick(now, nil)
						if s == nil {
							continue
						}
						if n := held[s]; n != nil && n.Add(1) > limit {
							t.Error("limit exceeded")
						}
						set.RecordProbeReply(now, s, routing.Report{Inflight: int32(i % 6), Slots: 6})
						set.Explain(now, s.Address())
						runtime.Gosched()
						if n := held[s]; n != nil {
							n.Add(-1)
						}
						s.EndAttempt(now, time.Millisecond, routing.Outcome(i%6))
					}
				})
			}
			wg.Wait()
			free := int32(0)
			for _, s := range set.Servers() {
				require.Zero(t, s.Inflight())
				if s.Weight() < 1 {
					s.SetWeight(1) // only where needed: SetWeight recomputes the usable bit and would hide a wrong one
				}
				free += s.Limit()
			}
			for range free {
				require.NotNil(t, set.Pick(time.Second, nil), "the bitmap does not mark a usable backend server as usable")
			}
		})
	}
}

// Guards against a report that arrives late and replaces a newer one.
func TestOlderReportIsIgnored(t *testing.T) {
	set := newSet(t, "lentilpin", 3)
	s := set.Servers()[0]
	s.RecordReport(time.Second, routing.Report{Inflight: 5}, 10*time.Millisecond)
	s.RecordReport(time.Second, routing.Report{Inflight: 1}, 20*time.Millisecond)
	r, age, ok := s.Reported(time.Second)
	require.True(t, ok)
	require.Equal(t, int32(5), r.Inflight)
	require.Equal(t, 10*time.Millisecond, age)
}

// Guards against a backend server that attracts load because its failures return
// quickly and make its latency and load look low.
func TestFastFailuresAttractNoLoad(t *testing.T) {
	set := newSet(t, "lentilpin", 12)
	bad, n := set.Servers()[0], 0
	for i := range 3000 {
		now := time.Duration(i) * time.Millisecond
		s := set.Pick(now, nil)
		s.RecordReport(now, routing.Report{Inflight: 2, Slots: 6, Latency: 10 * time.Millisecond}, 0)
		if s == bad {
			n++
			s.RecordReport(now, routing.Report{Slots: 6}, 0)
			s.EndAttempt(now, 100*time.Microsecond, routing.ErrorResponse)
			continue
		}
		s.EndAttempt(now, 10*time.Millisecond, routing.Success)
	}
	require.Less(t, n, 3000/12/2)
}

// Guards against an Explanation that lacks the reason or gives a wrong one.
func TestExplain(t *testing.T) {
	tests := []struct {
		desc  string
		setup func(s *routing.Server)
		want  string
	}{
		{"ejected", func(s *routing.Server) { s.SetWeight(0) }, "weight 0"},
		{"slow start", func(s *routing.Server) { s.SetWeight(0.5) }, "weight 0.50"},
		{"at limit", func(s *routing.Server) { s.SetLimit(1); s.BeginAttempt() }, "at its limit: 1 of 1"},
		{"errors", func(s *routing.Server) { s.BeginAttempt(); s.EndAttempt(time.Second, 1, routing.Broken) }, "attempts failed"},
		{"slow", func(s *routing.Server) { s.BeginAttempt(); s.EndAttempt(time.Second, time.Second, routing.Success) }, "latency 1s against"},
		{"loaded", func(s *routing.Server) { s.RecordReport(time.Second, routing.Report{Inflight: 6, Queued: 9}, 0) }, "estimated load 10.9"},
		{"no report", func(*routing.Server) {}, "no load report"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			set := newSet(t, "lentilpin", 3)
			for range 50 {
				s := set.Servers()[1]
				s.BeginAttempt()
				s.RecordReport(time.Second, routing.Report{Inflight: 1}, 0)
				s.EndAttempt(time.Second, time.Millisecond, routing.Success)
			}
			s := set.Servers()[0]
			tc.setup(s)
			e := set.Explain(time.Second, s.Address())
			require.True(t, e.Known)
			require.Contains(t, fmt.Sprint(e.Reasons), tc.want)
		})
	}
	set := newSet(t, "lentilpin", 3)
	require.Contains(t, set.Explain(0, "10.9.9.9:80").Reasons[0], "not in the instance list")
	require.Contains(t, fmt.Sprint(set.Explain(0, set.Servers()[2].Address()).Reasons), "failure domain c")
}

// Guards against settings that name an unknown policy, and against a change of
// the policy or of the list that loses count of attempts in flight.
func TestConfigure(t *testing.T) {
	set := newSet(t, "random", 6)
	s := set.Pick(0, nil)
	bad := *settings(t, "random")
	bad.Routing.Policy = "none"
	require.ErrorIs(t, set.Configure(&bad), routing.ErrUnknownPolicy)
	require.NoError(t, set.Configure(settings(t, "prequal")))
	require.Equal(t, 3.0, set.ProbesPerRequest())
	require.Equal(t, int32(1), s.Inflight())
	set.Update(0, nil)
	require.Nil(t, set.Pick(0, nil))
	s.EndAttempt(0, 0, routing.Canceled)
	require.Zero(t, s.Inflight())
}

// Guards against a policy that allocates memory during a decision.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, policy := range policies {
		set := newSet(t, policy, 100)
		exclude := []*routing.Server{set.Servers()[0]}
		require.Zero(t, testing.AllocsPerRun(100, func() {
			s := set.Pick(time.Second, exclude)
			set.RecordProbeReply(time.Second, s, routing.Report{Inflight: 2, Slots: 6})
			s.EndAttempt(time.Second, time.Millisecond, routing.Success)
		}), policy)
	}
}

// Guards against a high confidence in reports that do not predict latency, and
// against a low confidence in reports that do.
func TestReportConfidenceFollowsPrediction(t *testing.T) {
	tests := []struct {
		desc      string
		latency   func(load int32) time.Duration
		low, high float64
	}{
		{"reports predict latency", func(load int32) time.Duration { return time.Duration(10+load*10/6) * time.Millisecond }, 0.6, 1},
		{"reports do not predict latency", func(int32) time.Duration { return 10 * time.Millisecond }, 0, 0.2},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			set := newSet(t, "lentilpin", 12)
			now := time.Second
			for i := range 3000 {
				for k, s := range set.Servers() {
					s.RecordReport(now, routing.Report{Inflight: 6, Queued: int32((k + i) % 12), Slots: 6}, 0)
				}
				s := set.Pick(now, nil)
				r, _, _ := s.Reported(now)
				latency := tc.latency(r.Load())
				now += latency
				s.EndAttempt(now, latency, routing.Success)
			}
			confidence := set.Explain(now, set.Servers()[0].Address()).ReportConfidence
			require.GreaterOrEqual(t, confidence, tc.low)
			require.LessOrEqual(t, confidence, tc.high)
		})
	}
}

// Guards against a backend server that gets no attempts after a slow period, so
// that its recovery is never observed.
func TestRecoveredServerGetsWorkAgain(t *testing.T) {
	set := newSet(t, "lentilpin", 12)
	slow, picksAfterRecovery := set.Servers()[0], 0
	for i := range 10000 {
		now, latency := time.Duration(i)*time.Millisecond, 10*time.Millisecond
		s := set.Pick(now, nil)
		if s == slow && i < 2000 {
			latency *= 20
		} else if s == slow && i >= 8000 {
			picksAfterRecovery++
		}
		s.RecordReport(now, routing.Report{Inflight: 1, Slots: 6}, 0)
		s.EndAttempt(now, latency, routing.Success)
	}
	require.Greater(t, picksAfterRecovery, 2000/4/2, "more than half of the fair share in the own failure domain")
}
