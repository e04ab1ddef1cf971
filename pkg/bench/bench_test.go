package bench

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing"
)

// length is long enough for the faults, which begin after one second.
const length = 1500 * time.Millisecond

func find(t *testing.T, scenario, variant string) (Deployment, Scenario, Variant) {
	t.Helper()
	for _, j := range Plan([]uint64{1}, func(j *Job) bool {
		return j.Deployment.Name == "finland" && j.Scenario.Name == scenario && j.Variant.Name == variant
	}) {
		return j.Deployment, j.Scenario, j.Variant
	}
	t.Fatalf("no scenario %s with %s", scenario, variant)
	return Deployment{}, Scenario{}, Variant{}
}

// Guards against a result that depends on the order of maps, on the number of
// workers or on the wall clock.
func TestSeedRepeatsExactly(t *testing.T) {
	jobs := Plan([]uint64{7}, func(j *Job) bool {
		j.Scenario.Length = length
		return j.Deployment.Name == "bavaria" && j.Scenario.Name == "crash" && strings.HasPrefix(j.Variant.Name, "lentilpin")
	})
	a, err := RunAll(jobs, 1)
	require.NoError(t, err)
	b, err := RunAll(jobs, 4)
	require.NoError(t, err)
	for i := range a {
		require.Equal(t, a[i].Line(), b[i].Line())
	}
}

// Guards against requests that are lost or counted twice, different arrivals
// for different policies, and measuring above the budget.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, scenario := range []string{"crash", "domainlossy", "failfast"} {
		requests := 0
		for _, variant := range []string{"lentilpin", "prequal", "random"} {
			d, s, v := find(t, scenario, variant)
			s.Length = length
			r, err := Run(d, s, v, 3)
			require.NoError(t, err)
			require.Positive(t, r.Requests)
			if requests == 0 {
				requests = r.Requests
			}
			require.Equal(t, requests, r.Requests, "%s %s", scenario, variant)
			require.Equal(t, int64(r.Requests), r.Latency.TotalCount())
			if variant != "prequal" {
				require.LessOrEqual(t, r.BudgetUsedRatio, 1.0)
			}
		}
	}
}

// Guards against a fake with more than its slots, an order other than first in
// first out, and a canceled attempt that keeps its slot.
func TestBackendServesInOrder(t *testing.T) {
	d, s, v := find(t, "steady50", "random")
	settings, err := settingsOf(d, v)
	require.NoError(t, err)
	b := &bench{deployment: &d, scenario: &s, variant: &v, settings: settings, network: network{rand: source(1, 1), scenario: &s}}
	x := &backend{bench: b, cold: -1, rand: source(1, 2)}
	var all []*attempt
	for range slots + 2 {
		a := &attempt{request: &request{entry: &entry{bench: b}, work: 1}, backend: x, server: &routing.Server{}, ended: true}
		all = append(all, a)
		x.arrive(a)
	}
	require.Len(t, x.running, slots)
	require.Equal(t, all[slots:], x.queue)
	require.Equal(t, routing.Report{Inflight: slots, Queued: 2, Slots: slots}, x.report())
	x.cancel(all[0])
	require.Same(t, all[slots], x.running[slots-1])
	x.cancel(all[slots+1])
	require.Empty(t, x.queue)
	b.loop.run(time.Minute)
	require.Empty(t, x.running)
}

// Guards against events that run out of order.
func TestLoopOrder(t *testing.T) {
	var l loop
	var got []int
	for i, d := range []time.Duration{5, 1, 5, 3, 1} {
		l.after(d, func() { got = append(got, i) })
	}
	l.run(4)
	require.Equal(t, []int{1, 4, 3}, got)
	l.run(5)
	require.Equal(t, []int{1, 4, 3, 0, 2}, got)
}

// Guards against a line with other keys than the design page names, and files
// that are not written.
func TestOutput(t *testing.T) {
	results, err := RunAll(Plan([]uint64{1}, func(j *Job) bool {
		j.Scenario.Length = length
		return j.Scenario.Name == "steady50" && (j.Variant.Name == "lentilpin" || j.Variant.Name == "prequal")
	}), 2)
	require.NoError(t, err)
	var keys []string
	for _, field := range strings.Fields(results[0].Line()) {
		keys = append(keys, strings.SplitN(field, "=", 2)[0])
	}
	require.Equal(t, Fields, keys)
	dir := t.TempDir()
	require.NoError(t, WriteFiles(dir, results))
	for _, name := range []string{"results.csv", "summary.csv", "summary.txt", "finland-steady50.png"} {
		require.FileExists(t, dir+"/"+name)
	}
	var out strings.Builder
	WriteSummary(&out, results)
	require.Contains(t, out.String(), "goal met in 4 of 4")
}
