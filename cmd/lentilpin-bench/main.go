// Command lentilpin-bench simulates the selection policies in virtual time and
// prints one line for each policy and scenario.
package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"lentilpin/pkg/bench"
)

func main() {
	firstSeed, seedCount, workers, outDir := uint64(1), 3, min(4, runtime.NumCPU()), "out"
	var deployments, scenarios, policies string
	flaggy.SetName("lentilpin-bench")
	flaggy.SetDescription("runs the selection policies in virtual time")
	flaggy.UInt64(&firstSeed, "s", "seed", "first seed (default 1)")
	flaggy.Int(&seedCount, "n", "seeds", "number of seeds (default 3)")
	flaggy.Int(&workers, "w", "workers", "runs at a time (default 4 or the number of processors)")
	flaggy.String(&outDir, "o", "out", "directory for CSV and plots, empty for none (default out)")
	flaggy.String(&deployments, "d", "deployment", "only these, separated by commas")
	flaggy.String(&scenarios, "c", "scenario", "only these, separated by commas")
	flaggy.String(&policies, "p", "policy", "only these, separated by commas")
	ranks := false
	flaggy.Bool(&ranks, "", "ranks", "play bursts of requests of several ranks with and without admission by rank instead")
	flaggy.Parse()

	var seeds []uint64
	for i := range seedCount {
		seeds = append(seeds, firstSeed+uint64(i))
	}
	if ranks {
		runRanks(seeds)
		return
	}
	results, err := bench.RunAll(bench.Plan(seeds, func(j *bench.Job) bool {
		return matches(deployments, j.Deployment.Name) && matches(scenarios, j.Scenario.Name) && matches(policies, j.Variant.Name)
	}), workers)
	if err == nil {
		for _, r := range results {
			fmt.Println(r.Line())
		}
		bench.WriteSummary(os.Stderr, results)
		if outDir != "" {
			err = bench.WriteFiles(outDir, results)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runRanks prints the served shares by rank for small and for large fleets.
func runRanks(seeds []uint64) {
	for _, entries := range []int{20, 133, 214} {
		for _, s := range bench.RankScenarios(entries) {
			for _, seed := range seeds {
				for _, ranked := range []bool{false, true} {
					r, err := bench.RunRanks(s, ranked, seed)
					if err != nil {
						fmt.Fprintln(os.Stderr, err)
						os.Exit(1)
					}
					fmt.Println(strings.Join(r.Lines(), "\n"))
				}
			}
		}
	}
}

// matches reports whether the comma-separated list is empty or contains value.
func matches(list, value string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), value)
}
