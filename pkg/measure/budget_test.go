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

const instanceCeiling = 8

// sentMessage is one message sent by any instance.
type sentMessage struct {
	at    time.Duration
	bytes int
}

// fleetModel is the state machine: instances that start, restart, pause, leave
// and adopt settings at different times, each sending as often as its budget
// allows. The instances do not communicate and share no list, which for the
// budget is equivalent to a partition or an outdated list.
type fleetModel struct {
	now           time.Duration
	budgets       []float64      // published budgets in messages per second, indexed by version
	budgetPeriods []budgetPeriod // budgets in force at any instance
	running       map[int]*instance
	messages      []sentMessage
}

// budgetPeriod is a budget that one instance used until a time of the model.
type budgetPeriod struct {
	budget float64
	until  time.Duration // -1: still in force
}

type instance struct {
	budget       *measure.Budget
	startedAt    time.Duration // zero of the clock of the instance
	version      int
	budgetPeriod int // index in fleetModel.budgetPeriods; -1: none
	pausedUntil  time.Duration
}

const bytesPerMessage = measure.MaxMessageBytes

func (f *fleetModel) adopt(i *instance, version int) {
	f.endBudgetPeriod(i)
	i.version = version
	i.budgetPeriod = len(f.budgetPeriods)
	f.budgetPeriods = append(f.budgetPeriods, budgetPeriod{f.budgets[version], -1})
}

func (f *fleetModel) endBudgetPeriod(i *instance) {
	if i.budgetPeriod >= 0 {
		f.budgetPeriods[i.budgetPeriod].until = f.now
	}
}

func (f *fleetModel) startInstance(ordinal, version int) {
	if old := f.running[ordinal]; old != nil {
		f.endBudgetPeriod(old)
	}
	i := &instance{startedAt: f.now, budgetPeriod: -1}
	f.adopt(i, version)
	m := f.budgets[version]
	i.budget = measure.NewBudget(0, m, m*bytesPerMessage, instanceCeiling, ordinal)
	f.running[ordinal] = i
}

// sendAll lets every instance that is not paused send as often as its budget
// allows.
func (f *fleetModel) sendAll(t *rapid.T) {
	for ordinal := range instanceCeiling + 2 {
		i := f.running[ordinal]
		if i == nil || i.pausedUntil > f.now {
			continue
		}
		for i.budget.Take(f.now-i.startedAt, bytesPerMessage) {
			require.Less(t, ordinal, instanceCeiling)
			f.messages = append(f.messages, sentMessage{f.now, bytesPerMessage})
		}
	}
}

// checkWindow compares the sum over all instances in the window that ends now
// with the highest budget that was in force at any instance within it.
func (f *fleetModel) checkWindow(t *rapid.T) {
	from := f.now - measure.BudgetWindow
	highest := 0.0
	for _, x := range f.budgetPeriods {
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
	limit := highest * measure.BudgetWindow.Seconds()
	if float64(n) > limit || float64(bytes) > limit*bytesPerMessage {
		t.Fatalf("%d messages and %d bytes in the 10 s before %s, limit %g messages", n, bytes, f.now, limit)
	}
}

// Guards against a sum over all instances that exceeds the budget in any window,
// with instances that restart, pause, start and leave, and settings that raise
// and lower the budget at different times, without communication.
func TestSumNeverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.SampledFrom([]float64{0, 0.1, 0.75, 1.3, 5, 20, 60})
		f := &fleetModel{budgets: []float64{budget.Draw(t, "budget")}, running: map[int]*instance{}}
		ordinal := rapid.IntRange(0, instanceCeiling+1)
		for o := range instanceCeiling + 2 {
			f.startInstance(o, 0)
		}
		drawRunning := func(t *rapid.T) (int, *instance) {
			o := ordinal.Draw(t, "ordinal")
			i := f.running[o]
			if i == nil {
				t.Skip("not running")
			}
			return o, i
		}
		t.Repeat(map[string]func(*rapid.T){
			"start or restart": func(t *rapid.T) {
				f.startInstance(ordinal.Draw(t, "ordinal"), rapid.IntRange(0, len(f.budgets)-1).Draw(t, "version"))
			},
			"leave": func(t *rapid.T) {
				o, i := drawRunning(t)
				f.endBudgetPeriod(i)
				delete(f.running, o)
			},
			"pause": func(t *rapid.T) {
				_, i := drawRunning(t)
				i.pausedUntil = f.now + time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms"))*time.Millisecond
			},
			"publish": func(t *rapid.T) {
				f.budgets = append(f.budgets, budget.Draw(t, "budget"))
			},
			"adopt": func(t *rapid.T) {
				_, i := drawRunning(t)
				if i.version == len(f.budgets)-1 {
					t.Skip("newest version already adopted")
				}
				f.adopt(i, rapid.IntRange(i.version+1, len(f.budgets)-1).Draw(t, "version"))
				m := f.budgets[i.version]
				i.budget.Configure(m, m*bytesPerMessage, instanceCeiling)
			},
			"advance": func(t *rapid.T) {
				step := rapid.SampledFrom([]time.Duration{3, 20, 100, 133, 400}).Draw(t, "ms") * time.Millisecond
				for range rapid.IntRange(1, 150).Draw(t, "steps") {
					f.now += step
					f.sendAll(t)
					f.checkWindow(t)
				}
			},
			"": f.checkWindow,
		})
	})
}

// Guards against replacing the fixed share by a budget divided by the number of
// listed instances: in a partition each side lists fewer instances than are
// running, and the sum exceeds the budget.
func TestBudgetDividedByListIsExceeded(t *testing.T) {
	const budget = 80.0
	sum := func(divisor int) int {
		n := 0
		for ordinal := range instanceCeiling {
			b := measure.NewBudget(0, budget, budget*measure.MaxMessageBytes, divisor, ordinal%divisor)
			for now := time.Duration(0); now < measure.BudgetWindow; now += time.Millisecond {
				if b.Take(now, bytesPerMessage) {
					n++
				}
			}
		}
		return n
	}
	limit := int(budget * measure.BudgetWindow.Seconds())
	require.Greater(t, sum(instanceCeiling/2), limit+limit/2, "each side of the partition lists half of the instances")
	require.LessOrEqual(t, sum(instanceCeiling), limit)
}

// Guards against cross-domain probes that use only one of the two budgets,
// probes sent while suspended, and messages larger than their charge.
func TestProbeUsesBothBudgets(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "measuring": {"messagesPerSecond": 10, "crossDomainMessagesPerSecond": 1}}`)
	set := newSet(t, s)
	local, remote := set.Server("a1"), set.Server("b1")
	b := measure.NewBudgets(0, s, 0)
	require.False(t, b.Take(50*time.Millisecond, local, 300), "the token bucket starts empty")
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
	require.Equal(t, uint64(3), b.All.Usage().Refused, "two came too early, one was too large")
	require.Equal(t, uint64(1), b.CrossDomain.Usage().Refused)
	none := measure.NewBudgets(0, s, 1)
	require.False(t, none.Take(time.Hour, local, 300), "the ordinal is at the ceiling")
}

// Guards against a budget that refuses probes without an event, and against an
// event for each refused probe.
func TestExhaustionIsRecordedOnce(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "measuring": {"messagesPerSecond": 1}}`)
	local := newSet(t, s).Server("a1")
	b, recorder := measure.NewBudgets(0, s, 0), &fakeRecorder{}
	for now := time.Duration(0); now <= 60*time.Second; now += 500 * time.Millisecond {
		if now < 30*time.Second {
			b.Take(now, local, 300)
		}
		b.Report(now, recorder, "s")
	}
	require.Equal(t, []int{4200, 4201}, recorder.numbers)
}

type fakeRecorder struct{ numbers []int }

func (r *fakeRecorder) Record(e *events.Event, _ ...events.Field) {
	r.numbers = append(r.numbers, e.Number)
}

// Guards against probes of backend servers with a fresh report, a second probe
// while one is in progress, and probes of ejected or remote backend servers
// before local ones.
func TestProberPrefersStaleAndLocal(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "measuring": {"messagesPerSecond": 1000, "crossDomainMessagesPerSecond": 1000}}`)
	set := newSet(t, s)
	p := measure.NewProber(set, measure.NewBudgets(0, s, 0), 1)
	fresh := func(now time.Duration, addresses ...string) {
		for _, a := range addresses {
			set.Server(a).RecordReport(now, routing.Report{Inflight: 1}, 0)
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
	require.False(t, ok, "a2 was already probed, and b2 has weight 0")
}

// Guards against a prober that does not send the probes per request that the
// policy prequal wants.
func TestProberGrantsProbesPerRequest(t *testing.T) {
	s := service(t, `{"instanceCeiling": 1, "routing": {"policy": "prequal"}, "measuring": {"messagesPerSecond": 100000, "bytesPerSecond": 1e9, "crossDomainMessagesPerSecond": 100000, "crossDomainBytesPerSecond": 1e9}}`)
	set := newSet(t, s)
	p := measure.NewProber(set, measure.NewBudgets(0, s, 0), 1)
	n := 0
	for i := range 100 {
		set.Pick(0, nil).EndAttempt(0, 0, routing.Success)
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
