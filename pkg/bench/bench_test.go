package bench

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing"
)

// testLength is long enough to include the faults, which start after one second.
const testLength = 1500 * time.Millisecond

// selectJob returns the deployment finland with a scenario and a variant.
func selectJob(t *testing.T, scenario, variant string) (Deployment, Scenario, Variant) {
	t.Helper()
	for _, j := range Plan([]uint64{1}, func(j *Job) bool {
		return j.Deployment.Name == "finland" && j.Scenario.Name == scenario && j.Variant.Name == variant
	}) {
		return j.Deployment, j.Scenario, j.Variant
	}
	t.Fatalf("no scenario %s with %s", scenario, variant)
	return Deployment{}, Scenario{}, Variant{}
}

// Guards against results that depend on map iteration order, the number of workers
// or the wall clock.
func TestRunsAreReproducible(t *testing.T) {
	jobs := Plan([]uint64{7}, func(j *Job) bool {
		j.Scenario.Length = testLength
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

// Guards against requests that are lost or counted twice, arrivals that differ
// between policies, and more probes than the budget allows.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, scenario := range []string{"crash", "domainlossy", "failfast"} {
		requests := 0
		for _, variant := range []string{"lentilpin", "prequal", "random"} {
			d, s, v := selectJob(t, scenario, variant)
			s.Length = testLength
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

// Guards against a simulated backend server that runs more attempts than it has
// slots, that does not serve its queue in order, or that keeps the slot of a
// canceled attempt.
func TestBackendServesInOrder(t *testing.T) {
	d, s, v := selectJob(t, "steady50", "random")
	settings, err := newSettings(d, v)
	require.NoError(t, err)
	sim := &simulation{deployment: &d, scenario: &s, variant: &v, settings: settings, network: network{rand: newRand(1, 1), scenario: &s}}
	target := &backend{simulation: sim, coldSince: -1, rand: newRand(1, 2)}
	var attempts []*attempt
	for range slotsPerBackend + 2 {
		a := &attempt{request: &request{entry: &entry{simulation: sim}, work: 1}, backend: target, server: &routing.Server{}, ended: true}
		attempts = append(attempts, a)
		target.arrive(a)
	}
	require.Len(t, target.running, slotsPerBackend)
	require.Equal(t, attempts[slotsPerBackend:], target.queue)
	require.Equal(t, routing.Report{Inflight: slotsPerBackend, Queued: 2, Slots: slotsPerBackend}, target.report())
	target.cancel(attempts[0])
	require.Same(t, attempts[slotsPerBackend], target.running[slotsPerBackend-1])
	target.cancel(attempts[slotsPerBackend+1])
	require.Empty(t, target.queue)
	sim.loop.run(time.Minute)
	require.Empty(t, target.running)
}

// Guards against events that run out of order or after the end of a run.
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

// Guards against a result line whose keys differ from those of docs/design.md, and
// against missing output files.
func TestOutput(t *testing.T) {
	results, err := RunAll(Plan([]uint64{1}, func(j *Job) bool {
		j.Scenario.Length = testLength
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
	var summary strings.Builder
	WriteSummary(&summary, results)
	require.Contains(t, summary.String(), "goal met in 4 of 4")
}
