package measure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/routing"
)

const ceiling = 8

// send is one message of the fleet.
type send struct {
	at    time.Duration
	bytes int
}

// fleet is the state machine: instances that start, restart, pause, leave and
// adopt settings at different times, each trying to send as often as it can.
// There is no message between them and each sees another list, which is what
// a partition and a lagging list come to for the budget.
type fleet struct {
	now      time.Duration
	budgets  []float64 // published messages/s, by version
	inForce  []force   // budgets in force at some instance, with the time they ceased
	running  map[int]*instance
	messages []send
}

type force struct {
	budget float64
	until  time.Duration // -1: still in force
}

type instance struct {
	budget  *measure.Budget
	start   time.Duration // its clock starts at zero
	version int
	force   int // index in inForce
	paused  time.Duration
}

const bytesPerMessage = measure.MaxMessageBytes

func (f *fleet) adopt(i *instance, version int) {
	f.cease(i)
	i.version = version
	i.force = len(f.inForce)
	f.inForce = append(f.inForce, force{f.budgets[version], -1})
}

func (f *fleet) cease(i *instance) {
	if i.force >= 0 {
		f.inForce[i.force].until = f.now
	}
}

func (f *fleet) begin(ordinal, version int) {
	if old := f.running[ordinal]; old != nil {
		f.cease(old)
	}
	i := &instance{start: f.now, force: -1}
	f.adopt(i, version)
	m := f.budgets[version]
	i.budget = measure.NewBudget(0, m, m*bytesPerMessage, ceiling, ordinal)
	f.running[ordinal] = i
}

// trySend lets every instance that is not paused send as often as it can.
func (f *fleet) trySend(t *rapid.T) {
	for ordinal := range ceiling + 2 {
		i := f.running[ordinal]
		if i == nil || i.paused > f.now {
			continue
		}
		for i.budget.Take(f.now-i.start, bytesPerMessage) {
			require.Less(t, ordinal, ceiling)
			f.messages = append(f.messages, send{f.now, bytesPerMessage})
		}
	}
}

// check compares the sum over all instances in the window that ends now with
// the highest budget that was in force at any instance within it.
func (f *fleet) check(t *rapid.T) {
	from := f.now - measure.Window
	highest := 0.0
	for _, x := range f.inForce {
		if x.until < 0 || x.until > from {
			highest = max(highest, x.budget)
		}
	}
	for len(f.messages) > 0 && f.messages[0].at <= from {
		f.messages = f.messages[1:]
	}
	n, bytes := 0, 0
	for _, m := range f.messages {
		n++
		bytes += m.bytes
	}
	limit := highest * measure.Window.Seconds()
	if float64(n) > limit || float64(bytes) > limit*bytesPerMessage {
		t.Fatalf("%d messages and %d bytes in the 10 s before %s, budget %g messages", n, bytes, f.now, limit)
	}
}

// Guards against a sum over all instances above the budget in any window, with
// restarts, pauses, instances starting and leaving, settings raised and
// lowered at different times, and no communication.
func TestSumNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.SampledFrom([]float64{0, 0.1, 0.75, 1.3, 5, 20, 60})
		f := &fleet{budgets: []float64{budget.Draw(t, "budget")}, running: map[int]*instance{}}
		ordinal := rapid.IntRange(0, ceiling+1)
		for o := range ceiling + 2 {
			f.begin(o, 0)
		}
		pick := func(t *rapid.T) (int, *instance) {
			o := ordinal.Draw(t, "ordinal")
			i := f.running[o]
			if i == nil {
				t.Skip("not running")
			}
			return o, i
		}
		t.Repeat(map[string]func(*rapid.T){
			"start or restart": func(t *rapid.T) {
				f.begin(ordinal.Draw(t, "ordinal"), rapid.IntRange(0, len(f.budgets)-1).Draw(t, "version"))
			},
			"leave": func(t *rapid.T) {
				o, i := pick(t)
				f.cease(i)
				delete(f.running, o)
			},
			"pause": func(t *rapid.T) {
				_, i := pick(t)
				i.paused = f.now + time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms"))*time.Millisecond
			},
			"publish": func(t *rapid.T) {
				f.budgets = append(f.budgets, budget.Draw(t, "budget"))
			},
			"adopt": func(t *rapid.T) {
				_, i := pick(t)
				if i.version == len(f.budgets)-1 {
					t.Skip("newest already")
				}
				f.adopt(i, rapid.IntRange(i.version+1, len(f.budgets)-1).Draw(t, "version"))
				m := f.budgets[i.version]
				i.budget.Configure(m, m*bytesPerMessage, ceiling)
			},
			"advance": func(t *rapid.T) {
				step := rapid.SampledFrom([]time.Duration{3, 20, 100, 133, 400}).Draw(t, "ms") * time.Millisecond
				for range rapid.IntRange(1, 150).Draw(t, "steps") {
					f.now += step
					f.trySend(t)
					f.check(t)
				}
			},
			"": f.check,
		})
	})
}

// Guards against choosing a budget that is divided by the listed live
// instances: in a partition each part sees fewer instances than run, and the
// sum exceeds the budget. The share by ceiling does not.
func TestCounterexampleBudgetDividedByList(t *testing.T) {
	const budget = 80.0
	sum := func(divisor int) int {
		n := 0
		for ordinal := range ceiling {
			b := measure.NewBudget(0, budget, budget*measure.MaxMessageBytes, divisor, ordinal%divisor)
			for now := time.Duration(0); now < measure.Window; now += time.Millisecond {
				if b.Take(now, bytesPerMessage) {
					n++
				}
			}
		}
		return n
	}
	limit := int(budget * measure.Window.Seconds())
	require.Greater(t, sum(ceiling/2), limit+limit/2, "each of two parts lists half of the instances")
	require.LessOrEqual(t, sum(ceiling), limit)
}

// Guards against probes that use only one of the two budgets, that go on
// while suspended, or that are larger than what is charged.
func TestBudgets(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "measuring": {"messagesPerSecond": 10, "crossDomainMessagesPerSecond": 1}}`)
	set := newSet(t, s)
	local, remote := set.Server("a1"), set.Server("b1")
	b := measure.NewBudgets(0, s, 0)
	require.False(t, b.Take(50*time.Millisecond, local, 300), "bucket starts empty")
	require.True(t, b.Take(100*time.Millisecond, local, 300))
	require.False(t, b.Take(999*time.Millisecond, remote, 300))
	require.True(t, b.Take(1000*time.Millisecond, remote, 300))
	require.False(t, b.Take(1050*time.Millisecond, local, 300), "a probe across failure domains uses both budgets")
	require.False(t, b.Take(2000*time.Millisecond, local, measure.MaxMessageBytes+1))
	b.Suspend(true)
	require.False(t, b.Take(3000*time.Millisecond, local, 300))
	b.Suspend(false)
	require.True(t, b.Take(3000*time.Millisecond, local, 300))
	require.Equal(t, uint64(3), b.All.Usage().Sent)
	require.Equal(t, uint64(3), b.All.Usage().Refused, "two too early, one too large")
	require.Equal(t, uint64(1), b.CrossDomain.Usage().Refused)
	none := measure.NewBudgets(0, s, 1)
	require.False(t, none.Take(time.Hour, local, 300), "ordinal at the ceiling")
}

// Guards against a budget that refuses probes without a trace, and against one
// event for each refusal.
func TestExhaustionIsReportedOnce(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "measuring": {"messagesPerSecond": 1}}`)
	local := newSet(t, s).Server("a1")
	b, rec := measure.NewBudgets(0, s, 0), &recorder{}
	for now := time.Duration(0); now <= 60*time.Second; now += 500 * time.Millisecond {
		if now < 30*time.Second {
			b.Take(now, local, 300)
		}
		b.Report(now, rec, "s")
	}
	require.Equal(t, []int{4200, 4201}, rec.numbers)
}

type recorder struct{ numbers []int }

func (r *recorder) Record(e *events.Event, _ ...events.Field) {
	r.numbers = append(r.numbers, e.Number)
}

// Guards against probes where a report is fresh, a second probe while one is
// on its way, and probes to ejected or remote backend servers before local ones.
func TestProberPrefersStaleAndLocal(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "measuring": {"messagesPerSecond": 1000, "crossDomainMessagesPerSecond": 1000}}`)
	set := newSet(t, s)
	p := measure.NewProber(set, measure.NewBudgets(0, s, 0), 1)
	fresh := func(now time.Duration, addresses ...string) {
		for _, a := range addresses {
			set.Server(a).Observe(now, routing.Report{Inflight: 1}, 0)
		}
	}
	fresh(time.Second, "a1", "a2", "b1", "b2")
	_, ok := p.Next(time.Second + 50*time.Millisecond)
	require.False(t, ok)
	fresh(2*time.Second, "a1", "b1")
	set.Server("b2").SetWeight(0)
	got, ok := p.Next(2 * time.Second)
	require.True(t, ok)
	require.Equal(t, "a2", got.Address())
	_, ok = p.Next(2*time.Second + 50*time.Millisecond)
	require.False(t, ok, "already probed, and b2 has weight 0")
}

// Guards against a prober that does not owe prequal its probes per request.
func TestProberOwesProbesPerRequest(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "routing": {"policy": "prequal"}, "measuring": {"messagesPerSecond": 100000, "bytesPerSecond": 1e9, "crossDomainMessagesPerSecond": 100000, "crossDomainBytesPerSecond": 1e9}}`)
	set := newSet(t, s)
	p := measure.NewProber(set, measure.NewBudgets(0, s, 0), 1)
	n := 0
	for i := range 100 {
		set.Pick(0, nil).End(0, 0, routing.Success)
		for k := time.Duration(1); ; k++ {
			if _, ok := p.Next(time.Duration(i+1)*time.Second + k*time.Millisecond); !ok {
				break
			}
			n++
		}
	}
	require.Equal(t, 300, n)
}

func service(t *testing.T, text string) *dynamic.Service {
	t.Helper()
	tree, err := dynamic.Parse(fmt.Appendf(nil, `{"version":1,"regions":{"r":{"services":{"s":%s}}}}`, text))
	require.NoError(t, err)
	s := tree.Lookup("r", "s").Service
	return &s
}

func newSet(t *testing.T, s *dynamic.Service) *routing.Set {
	t.Helper()
	set, err := routing.NewSet(routing.Options{FailureDomain: "a", Seed: 1, Settings: s})
	require.NoError(t, err)
	set.Update(0, []routing.Backend{{Address: "a1", FailureDomain: "a"}, {Address: "a2", FailureDomain: "a"}, {Address: "b1", FailureDomain: "b"}, {Address: "b2", FailureDomain: "b"}})
	return set
}
