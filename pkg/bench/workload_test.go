package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// workloadJob returns a shortened run of a Workload.
func workloadJob(t *testing.T, deployment, scenario, variant string) Job {
	t.Helper()
	jobs := Plan([]uint64{1}, func(j *Job) bool {
		j.Scenario.Length = testLength
		return j.Deployment.Name == deployment && j.Scenario.Name == scenario && j.Variant.Name == variant
	})
	require.Len(t, jobs, 1)
	return jobs[0]
}

// Guards against requests of a workload that are lost or counted twice, results that
// differ between runs, arrivals that differ between variants, and more load queries than
// their budget allows.
func TestWorkloadEndsEveryRequestOnce(t *testing.T) {
	requests := 0
	for _, variant := range []string{"fresh-hedge0", "fresh", "fresh-hedge2"} {
		j := workloadJob(t, "three-133", "busy", variant)
		r, err := Run(j.Deployment, j.Scenario, j.Variant, 5)
		require.NoError(t, err)
		require.Positive(t, r.Requests)
		if requests == 0 {
			requests = r.Requests
		}
		require.Equal(t, requests, r.Requests, variant)
		require.Positive(t, r.LoadQueries)
		limit := j.Deployment.Workload.LoadQueriesPerBackend * float64(j.Deployment.backendCount()) * testLength.Seconds()
		require.LessOrEqual(t, float64(r.LoadQueries), limit)
		again, err := Run(j.Deployment, j.Scenario, j.Variant, 5)
		require.NoError(t, err)
		require.Equal(t, r.Line(), again.Line())
	}
}

// Guards against an attempt whose slowdown is not that of each moment, and against
// slow states that do not cover the stated share of the backend servers.
func TestWorkloadSlowdown(t *testing.T) {
	j := workloadJob(t, "three-133", "calm", "fresh")
	sim := &simulation{deployment: &j.Deployment, scenario: &j.Scenario, seed: 3}
	slow, all := 0, 0
	for i := range j.Deployment.backendCount() {
		b := &backend{simulation: sim, index: i}
		for at := time.Duration(0); at < 10*time.Second; at += workloadSlowPeriod {
			if all++; b.isSlow(at) {
				slow++
			}
		}
		work := 0.0
		d := b.duration(300 * time.Millisecond)
		for at := time.Duration(0); at < d; at += time.Millisecond {
			work += 1 / b.slowFactor(at)
		}
		require.InDelta(t, 300, work, 5, "milliseconds of work of backend server %d", i)
	}
	require.InDelta(t, j.Deployment.Workload.SlowRatio, float64(slow)/float64(all), 0.03)
}
