package bench

import (
	"sync"
)

// Job is one run with its deployment, scenario, variant and seed.
type Job struct {
	Deployment Deployment
	Scenario   Scenario
	Variant    Variant
	Seed       uint64
}

// Plan returns a job for each combination of deployment, scenario, variant and
// seed for which keep returns true. keep may change the job.
func Plan(seeds []uint64, keep func(*Job) bool) []Job {
	jobs := combine(Deployments(), Scenarios(), Variants(), seeds, keep)
	return append(jobs, combine(WorkloadDeployments(), WorkloadScenarios(), WorkloadVariants(), seeds, func(j *Job) bool {
		return j.isInWorkloadPlan() && keep(j)
	})...)
}

func combine(deployments []Deployment, scenarios []Scenario, variants []Variant, seeds []uint64, keep func(*Job) bool) []Job {
	var jobs []Job
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, v := range variants {
				for _, seed := range seeds {
					if j := (Job{d, s, v, seed}); keep(&j) {
						jobs = append(jobs, j)
					}
				}
			}
		}
	}
	return jobs
}

// RunAll runs the jobs concurrently in at least one worker and returns the results
// in the order of the jobs, or the first error in this order. Each run has its own
// virtual time and random sources, so the results do not depend on the number of
// workers.
func RunAll(jobs []Job, workers int) ([]*Result, error) {
	results, errs := make([]*Result, len(jobs)), make([]error, len(jobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(1, workers) {
		wg.Go(func() {
			for i := range next {
				j := jobs[i]
				results[i], errs[i] = Run(j.Deployment, j.Scenario, j.Variant, j.Seed)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}
