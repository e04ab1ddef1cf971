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

// world is some backend servers, the first near ones in the own failure domain.
type world struct {
	policy  *fresh.Policy
	servers []*server.Server
	list    *server.List
	random  *rand.Rand
}

func newWorld(near, far int) *world {
	shared := server.NewShared(time.Second)
	w := &world{
		policy: fresh.New(fresh.Options{MaxProbes: 3, CrossDomainPenalty: 0.6, MaxAge: 15 * time.Millisecond}, shared),
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for i := range near + far {
		w.servers = append(w.servers, server.New(server.Backend{Address: fmt.Sprint(i)}, i < near, shared, 6))
	}
	w.list = server.NewList(w.servers, near)
	return w
}

func (w *world) report(i int, slowdown float64, running, waiting int32) {
	w.servers[i].Observe(now, server.Report{Inflight: running, Queued: waiting, Slots: 6, Slowdown: slowdown}, 0)
}

func (w *world) choose(exclude ...*server.Server) *server.Server {
	return w.policy.Choose(now, w.list, w.random, exclude)
}

func (w *world) ask(round server.Round) []*server.Server {
	return w.policy.Ask(now, w.list, w.random, round, nil, nil)
}

// Guards against a choice that ignores what the replies say.
func TestChoose(t *testing.T) {
	for _, tt := range []struct {
		desc      string
		near, far int
		know      func(w *world)
		want      int
	}{
		{"the one at its usual speed", 3, 0, func(w *world) { w.report(0, 7, 0, 0); w.report(1, 1, 3, 0); w.report(2, 7, 0, 0) }, 1},
		{"the emptier one of two at their usual speed", 2, 0, func(w *world) { w.report(0, 1, 5, 0); w.report(1, 1.3, 1, 0) }, 1},
		{"the one with a free slot", 2, 0, func(w *world) { w.report(0, 1, 6, 5); w.report(1, 1, 5, 0) }, 1},
		{"a known one before an unknown one", 2, 0, func(w *world) { w.report(0, 7, 2, 0) }, 0},
		{"the own failure domain where it is good enough", 1, 1, func(w *world) { w.report(0, 1.3, 2, 0); w.report(1, 1, 0, 0) }, 0},
		{"another one where all near ones are slow", 1, 1, func(w *world) { w.report(0, 7, 0, 0); w.report(1, 1, 0, 0) }, 1},
		{"a mute one last", 2, 0, func(w *world) {
			w.report(0, 1, 0, 0)
			w.report(1, 7, 6, 6)
			w.servers[0].Ask()
			w.servers[0].Replied(now, false)
		}, 1},
		{"a cold one after a warm one", 2, 0, func(w *world) { w.report(0, 1, 0, 0); w.report(1, 1, 2, 0); w.servers[0].SetCold(now, time.Second) }, 1},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			w := newWorld(tt.near, tt.far)
			tt.know(w)
			for range 20 {
				require.Same(t, w.servers[tt.want], w.choose())
			}
			require.NotSame(t, w.servers[tt.want], w.choose(w.servers[tt.want]))
		})
	}
}

// Guards against hedges that make an overload worse, or that wait longer than the
// request that they are to overtake.
func TestHasRoom(t *testing.T) {
	for _, tt := range []struct {
		desc string
		know func(w *world)
		want bool
	}{
		{"nothing known", func(*world) {}, false},
		{"idle", func(w *world) { w.report(0, 1, 0, 0) }, true},
		{"one more below four fifths of the slots", func(w *world) { w.report(0, 1, 3, 0) }, true},
		{"nearly full", func(w *world) { w.report(0, 1, 4, 0) }, false},
		{"requests wait", func(w *world) { w.report(0, 1, 6, 2) }, false},
		{"slow", func(w *world) { w.report(0, 7, 0, 0) }, false},
		{"own attempts since the report", func(w *world) {
			w.report(0, 1, 2, 0)
			w.servers[0].Begin()
			w.servers[0].Begin()
		}, false},
		{"mute", func(w *world) { w.report(0, 1, 0, 0); w.servers[0].Ask(); w.servers[0].Replied(now, false) }, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			w := newWorld(1, 0)
			tt.know(w)
			require.Equal(t, tt.want, w.policy.HasRoom(now, w.servers[0]))
		})
	}
	w := newWorld(1, 0)
	w.report(0, 1, 0, 0)
	require.False(t, w.policy.HasRoom(now+time.Second, w.servers[0]), "the report is old")
}

// Guards against questions without end, about what is known, and to other failure
// domains without need.
func TestAsk(t *testing.T) {
	w := newWorld(9, 9)
	first := w.ask(server.Near)
	require.Len(t, first, 3)
	for _, s := range first {
		require.True(t, s.Local())
		w.report(index(w, s), 7, 0, 0)
	}
	again := w.ask(server.Again)
	require.Len(t, again, 3, "all that replied are slow, and one without a reply is not chosen")
	for _, s := range again {
		require.True(t, s.Local())
		require.NotContains(t, first, s)
	}
	for i := range 9 {
		w.report(i, 7, 0, 0)
	}
	require.Empty(t, w.ask(server.Near), "all reports are fresh")
	far := w.ask(server.Far)
	require.Len(t, far, 3)
	for _, s := range far {
		require.False(t, s.Local())
	}
	w.report(0, 1, 0, 0)
	require.Empty(t, w.ask(server.Far), "a near one will do")
}

func index(w *world, s *server.Server) int {
	for i := range w.servers {
		if w.servers[i] == s {
			return i
		}
	}
	return -1
}
