package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
	"lentilpin/pkg/routing"
)

type lineRecorder []string

func (l *lineRecorder) Record(e *events.Event, fields ...events.Field) {
	*l = append(*l, fmt.Sprintf("%s %v", e.Name, fields[0]))
}

// Guards against state changes of a service that are recorded in the audit
// trail without its name, an exhausted retry budget that is not reported, and a
// concurrency limit that stays above a connection share that new settings have
// lowered.
func TestServiceReportsAndFollowsSettings(t *testing.T) {
	var log lineRecorder
	g := &Gateway{limits: newCallerLimits(tally.NoopScope, static.Defaults().Limits), options: Options{Recorder: &log, Scope: tally.NoopScope, OrdinalConflict: func() bool { return false }, NotifyPeers: func() {}, Instances: func() int { return 1 }}, start: time.Now()}
	tree, err := dynamic.Parse([]byte(treeText))
	require.NoError(t, err)
	s, err := newService(g, "shop", 1, &tree.Lookup("r", "shop").Service)
	require.NoError(t, err)
	t.Cleanup(s.pool.Close)
	s.updateBackends([]routing.Backend{{Address: "a"}}, nil, []string{"a"})
	g.current.Store(newSnapshot(map[string]*service{"shop": s}, nil, tree))
	runPeriodic := func() {
		for tick := range ticksPerRound {
			var probes sync.WaitGroup
			g.runPeriodic(t.Context(), tick, &probes)
			probes.Wait()
		}
	}
	for s.retryBudget.TakeRetry(0) {
	}
	runPeriodic()
	runPeriodic()
	require.Equal(t, lineRecorder{"backend_draining {service shop}", "retry_budget_exhausted {service shop}", "retry_budget_recovered {service shop}"}, log)

	server := s.routingSet.Server("a")
	require.EqualValues(t, 6, s.concurrencyLimit(server).Limit())
	lower := *s.settings.Load()
	lower.InstanceCeiling = 100
	require.NoError(t, s.configure(&lower))
	require.EqualValues(t, 2, server.Limit())
}

// Guards against a cost of control that grows with the product of services and
// instances.
func TestInstancesAreCountedOncePerTick(t *testing.T) {
	counted := 0
	countInstances := func() int { counted++; return 3 }
	g := &Gateway{limits: newCallerLimits(tally.NoopScope, static.Defaults().Limits), options: Options{Recorder: events.Discard{}, Scope: tally.NoopScope, OrdinalConflict: func() bool { return false }, NotifyPeers: func() {}, Instances: countInstances}, start: time.Now()}
	tree, err := dynamic.Parse([]byte(treeText))
	require.NoError(t, err)
	services := map[string]*service{}
	for i := range 5 * ticksPerRound {
		name := fmt.Sprint(i)
		services[name], err = newService(g, name, 1, &tree.Lookup("r", "shop").Service)
		require.NoError(t, err)
		t.Cleanup(services[name].pool.Close)
	}
	g.current.Store(newSnapshot(services, nil, tree))
	for tick := range ticksPerRound {
		var probes sync.WaitGroup
		g.runPeriodic(t.Context(), tick, &probes)
		probes.Wait()
	}
	require.Equal(t, ticksPerRound, counted)
}
