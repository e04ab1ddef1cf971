package fresh_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing/fresh"
	"lentilpin/pkg/routing/server"
)

const now = time.Minute

// fixture is a policy with a list of backend servers, of which the first ones are
// in the own failure domain.
type fixture struct {
	policy  *fresh.Policy
	servers []*server.Server
	list    *server.List
	random  *rand.Rand
}

func newFixture(local, remote int) *fixture { return newFixtureWithMaxCost(local, remote, 0) }

func newFixtureWithMaxCost(local, remote int, maxCost float64) *fixture {
	stats := server.NewServiceStats(time.Second)
	f := &fixture{
		policy: fresh.New(fresh.Options{MaxLoadQueries: 3, MaxCost: maxCost, CrossDomainPenalty: 0.6, MaxAge: 15 * time.Millisecond}, stats),
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for i := range local + remote {
		f.servers = append(f.servers, server.New(server.Backend{Address: fmt.Sprint(i)}, i < local, stats, 6))
	}
	f.list = server.NewList(f.servers, local)
	return f
}

func (f *fixture) report(i int, slowdown float64, running, waiting int32) {
	f.servers[i].RecordReport(now, server.Report{Inflight: running, Queued: waiting, Slots: 6, Slowdown: slowdown}, 0)
}

func (f *fixture) choose(exclude ...*server.Server) *server.Server {
	return f.policy.Choose(now, f.list, f.random, exclude)
}

func (f *fixture) loadQueryTargets(round server.LoadQueryRound) []*server.Server {
	return f.policy.LoadQueryTargets(now, f.list, f.random, round, nil, nil)
}

// Guards against a selection that ignores the load reports.
func TestChoose(t *testing.T) {
	for _, tt := range []struct {
		desc          string
		local, remote int
		setup         func(f *fixture)
		want          int
	}{
		{"selects the only one at its usual speed", 3, 0, func(f *fixture) { f.report(0, 7, 0, 0); f.report(1, 1, 3, 0); f.report(2, 7, 0, 0) }, 1},
		{"selects the less loaded of two at nearly the usual speed", 2, 0, func(f *fixture) { f.report(0, 1, 5, 0); f.report(1, 1.3, 1, 0) }, 1},
		{"selects the one with a free slot", 2, 0, func(f *fixture) { f.report(0, 1, 6, 5); f.report(1, 1, 5, 0) }, 1},
		{"prefers one with a report to one without", 2, 0, func(f *fixture) { f.report(0, 7, 2, 0) }, 0},
		{"prefers one that has reported lately", 2, 0, func(f *fixture) {
			f.servers[1].RecordReport(now, server.Report{Slots: 6, Slowdown: 1}, 2*time.Second)
			f.report(0, 3, 2, 0)
		}, 0},
		{"stays in the own failure domain at a low enough cost", 1, 1, func(f *fixture) { f.report(0, 1.3, 2, 0); f.report(1, 1, 0, 0) }, 0},
		{"leaves the failure domain if all local ones are slow", 1, 1, func(f *fixture) { f.report(0, 7, 0, 0); f.report(1, 1, 0, 0) }, 1},
		{"ranks an unresponsive one last", 2, 0, func(f *fixture) {
			f.report(0, 1, 0, 0)
			f.report(1, 7, 6, 6)
			f.servers[0].BeginQuery()
			f.servers[0].EndQuery(now, false)
		}, 1},
		{"prefers a warm one to a cold one", 2, 0, func(f *fixture) { f.report(0, 1, 0, 0); f.report(1, 1, 2, 0); f.servers[0].SetCold(now, time.Second) }, 1},
		{"prefers a warm one to a cold one with a permit", 2, 0, func(f *fixture) { f.report(0, 1, 0, 0); f.report(1, 1, 0, 0); f.permitCold(0) }, 1},
		{"prefers a cold one with a permit to another failure domain", 1, 1, func(f *fixture) { f.report(0, 1, 0, 0); f.report(1, 1, 0, 0); f.permitCold(0) }, 0},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(tt.local, tt.remote)
			tt.setup(f)
			for range 20 {
				require.Same(t, f.servers[tt.want], f.choose())
			}
			require.NotSame(t, f.servers[tt.want], f.choose(f.servers[tt.want]))
		})
	}
}

// permitCold makes a backend server cold, with a permit.
func (f *fixture) permitCold(i int) {
	f.servers[i].LimitWarmup(now, 6.3, 0)
	f.servers[i].SetWarmupLeft(now, time.Second)
	f.servers[i].GrantPermit(now + time.Second)
}

// Guards against hedges that make an overload worse, and against hedges that take
// longer than the first attempt.
func TestHasSpareCapacity(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		setup func(f *fixture)
		want  bool
	}{
		{"no report", func(*fixture) {}, false},
		{"idle", func(f *fixture) { f.report(0, 1, 0, 0) }, true},
		{"one more request stays below 80% of the slots", func(f *fixture) { f.report(0, 1, 3, 0) }, true},
		{"nearly full", func(f *fixture) { f.report(0, 1, 4, 0) }, false},
		{"requests are queued", func(f *fixture) { f.report(0, 1, 6, 2) }, false},
		{"slow", func(f *fixture) { f.report(0, 7, 0, 0) }, false},
		{"own attempts since the report", func(f *fixture) {
			f.report(0, 1, 2, 0)
			f.servers[0].BeginAttempt()
			f.servers[0].BeginAttempt()
		}, false},
		{"mute", func(f *fixture) { f.report(0, 1, 0, 0); f.servers[0].BeginQuery(); f.servers[0].EndQuery(now, false) }, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(1, 0)
			tt.setup(f)
			require.Equal(t, tt.want, f.policy.HasSpareCapacity(now, f.servers[0]))
		})
	}
	f := newFixture(1, 0)
	f.report(0, 1, 0, 0)
	require.False(t, f.policy.HasSpareCapacity(now+time.Second, f.servers[0]), "the report is old")
}

// Guards against repeated load queries to backend servers with a fresh report, and
// against load queries to other failure domains although the cost in the own one is
// low enough.
func TestLoadQueryTargets(t *testing.T) {
	f := newFixture(9, 9)
	firstRound := f.loadQueryTargets(server.LocalRound)
	require.Len(t, firstRound, 3)
	for _, s := range firstRound {
		require.True(t, s.Local())
		f.report(indexOf(f, s), 7, 0, 0)
	}
	secondRound := f.loadQueryTargets(server.SecondLocalRound)
	require.Len(t, secondRound, 3, "all backend servers that replied are slow, and one without a reply would not be selected")
	for _, s := range secondRound {
		require.True(t, s.Local())
		require.NotContains(t, firstRound, s)
	}
	for i := range 9 {
		f.report(i, 7, 0, 0)
	}
	require.Empty(t, f.loadQueryTargets(server.LocalRound), "all reports are fresh")
	remoteRound := f.loadQueryTargets(server.RemoteRound)
	require.Len(t, remoteRound, 3)
	for _, s := range remoteRound {
		require.False(t, s.Local())
	}
	f.report(0, 1, 0, 0)
	require.Empty(t, f.loadQueryTargets(server.RemoteRound), "a local backend server has a low enough cost")
}

func indexOf(f *fixture, s *server.Server) int {
	for i := range f.servers {
		if f.servers[i] == s {
			return i
		}
	}
	return -1
}

// Guards against requests to backend servers that are all overloaded, and against
// refusals while their load is unknown.
func TestChooseNoneIfAllAreOverloaded(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		waiting int32 // at each backend server
		setup   func(f *fixture)
		chosen  bool
	}{
		{"few requests wait", 4, func(*fixture) {}, true},
		{"many requests wait", 18, func(*fixture) {}, false},
		{"many requests wait at all but one", 18, func(f *fixture) { f.report(1, 1, 2, 0) }, true},
		{"many requests wait at the own failure domain only", 18, func(f *fixture) { f.report(2, 1, 2, 0) }, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixtureWithMaxCost(2, 1, 4)
			for i := range f.servers {
				f.report(i, 1, 6, tt.waiting)
			}
			tt.setup(f)
			require.Equal(t, tt.chosen, f.choose() != nil)
		})
	}
	require.NotNil(t, newFixtureWithMaxCost(2, 0, 4).choose(), "no load is known")
}
