package bench

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Fields lists the names of the fields of a result line, in order.
var Fields = []string{
	"deployment", "scenario", "policy", "seed", "requests", "p50_ms", "p99_ms", "p999_ms", "errors",
	"probes", "probe_bytes", "cross_domain_probes", "cross_domain_requests", "retries", "hedges",
	"max_slot_queue", "budget_used_ratio", "in_time", "load_queries", "cross_domain_ratio", "cross_domain_bytes_ratio",
	"spill_dispersion", "spill_herding", "spill_local_idle", "extra_work_ratio", "worst_domain_in_time",
}

// latencyMS returns a percentile of the latency in milliseconds.
func (r *Result) latencyMS(percentile float64) float64 {
	return float64(r.Latency.ValueAtPercentile(percentile)) / 1000
}

// Values returns the formatted values of the result in the order of Fields.
func (r *Result) Values() []string {
	return []string{
		r.Deployment, r.Scenario, r.Policy, fmt.Sprint(r.Seed), fmt.Sprint(r.Requests),
		fmt.Sprintf("%.2f", r.latencyMS(50)), fmt.Sprintf("%.2f", r.latencyMS(99)), fmt.Sprintf("%.2f", r.latencyMS(99.9)),
		fmt.Sprint(r.Errors), fmt.Sprint(r.Probes), fmt.Sprint(r.ProbeBytes), fmt.Sprint(r.CrossDomainProbes),
		fmt.Sprint(r.CrossDomainRequests), fmt.Sprint(r.Retries), fmt.Sprint(r.Hedges),
		fmt.Sprint(r.MaxSlotQueue), fmt.Sprintf("%.4f", r.BudgetUsedRatio),
		fmt.Sprint(r.InTime), fmt.Sprint(r.LoadQueries), fmt.Sprintf("%.4f", ratio(r.CrossDomainRequests, r.Attempts)),
		fmt.Sprintf("%.4f", ratio(r.CrossDomainBytes, r.Bytes)), fmt.Sprintf("%.2f", r.SpillDispersion), fmt.Sprintf("%.2f", r.SpillHerding),
		fmt.Sprintf("%.3f", r.SpillLocalIdle), fmt.Sprintf("%.4f", r.WorkRatio), fmt.Sprintf("%.4f", r.WorstDomainInTime),
	}
}

// Line returns the result as key=value fields.
func (r *Result) Line() string {
	var parts []string
	for i, v := range r.Values() {
		parts = append(parts, Fields[i]+"="+v)
	}
	return strings.Join(parts, " ")
}

// WriteFiles writes results.csv, summary.csv, summary.txt and one plot of the
// percentile curves for each deployment and scenario into dir, which it creates if
// it does not exist.
func WriteFiles(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "output directory")
	}
	rows := [][]string{Fields}
	for _, r := range results {
		rows = append(rows, r.Values())
	}
	if err := writeCSV(filepath.Join(dir, "results.csv"), rows); err != nil {
		return err
	}
	groups := groupResults(results)
	if err := writeCSV(filepath.Join(dir, "summary.csv"), summaryRows(groups)); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "summary.txt"))
	if err != nil {
		return errors.Wrap(err, "summary")
	}
	WriteSummary(f, results)
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "summary")
	}
	return writePlots(dir, groups)
}

func writeCSV(name string, rows [][]string) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "csv")
	}
	w := csv.NewWriter(f)
	if err := cmp.Or(w.WriteAll(rows), f.Close()); err != nil {
		return errors.Wrap(err, "csv")
	}
	return nil
}

// group holds the results of all seeds of one deployment, scenario and policy.
type group struct {
	*Result // result of the first seed, but with the latencies of all seeds merged
	runs    []*Result
}

// spread is the mean, minimum and maximum of a value over all seeds.
type spread struct{ mean, low, high float64 }

func (g *group) spread(value func(*Result) float64) spread {
	s := spread{low: value(g.runs[0]), high: value(g.runs[0])}
	for _, r := range g.runs {
		v := value(r)
		s.mean += v / float64(len(g.runs))
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
	return s
}

func (s spread) String() string { return fmt.Sprintf("%.1f (%.1f-%.1f)", s.mean, s.low, s.high) }

func (g *group) p99() spread  { return g.spread(func(r *Result) float64 { return r.latencyMS(99) }) }
func (g *group) p999() spread { return g.spread(func(r *Result) float64 { return r.latencyMS(99.9) }) }
func (g *group) errors() spread {
	return g.spread(func(r *Result) float64 { return float64(r.Errors) })
}
func (g *group) probes() spread {
	return g.spread(func(r *Result) float64 { return float64(r.Probes) })
}

func groupResults(results []*Result) []*group {
	var groups []*group
	groupsByKey := map[string]*group{}
	for _, r := range results {
		key := r.Deployment + "/" + r.Scenario + "/" + r.Policy
		g := groupsByKey[key]
		if g == nil {
			merged := *r
			merged.Latency = hdrhistogram.New(1, maxRecordedLatency.Microseconds(), 3)
			g = &group{Result: &merged}
			groupsByKey[key], groups = g, append(groups, g)
		}
		g.Latency.Merge(r.Latency)
		g.runs = append(g.runs, r)
	}
	return groups
}

func summaryRows(groups []*group) [][]string {
	rows := [][]string{{"deployment", "scenario", "policy", "seeds", "p99_ms_mean", "p99_ms_min", "p99_ms_max", "p999_ms_mean", "p999_ms_min", "p999_ms_max", "errors_mean", "probes_mean"}}
	for _, g := range groups {
		a, b := g.p99(), g.p999()
		row := []string{g.Deployment, g.Scenario, g.Policy, fmt.Sprint(len(g.runs))}
		for _, v := range []float64{a.mean, a.low, a.high, b.mean, b.low, b.high, g.errors().mean, g.probes().mean} {
			row = append(row, fmt.Sprintf("%.2f", v))
		}
		rows = append(rows, row)
	}
	return rows
}

// WriteSummary compares lentilpin with the best baseline of each scenario over all
// seeds: mean and, in parentheses, minimum and maximum. The last lines count the
// comparisons in which lentilpin or one of its ablations is better than the best
// baseline, and those in which lentilpin is better than the hedged variants.
func WriteSummary(w io.Writer, results []*Result) {
	groups, baselines := groupResults(results), map[string]bool{}
	for _, v := range Variants() {
		baselines[v.Name] = v.Baseline
	}
	fmt.Fprintf(w, "%-8s %-11s | %-20s %-20s %-7s | %-20s %-20s %-7s | %-11s %s\n", "", "", "p99 ms lentilpin", "best baseline", "goal", "p99.9 ms lentilpin", "best baseline", "goal", "errors", "probes of Prequal's")
	for _, c := range compareToBaselines(groups, "lentilpin", baselines) {
		errorCounts := fmt.Sprintf("%.0f/%.0f", c.candidate.errors().mean, c.bestP999.errors().mean)
		fmt.Fprintf(w, "%-8s %-11s | %-20s %-20s %-7s | %-20s %-20s %-7s | %-11s %.4f\n",
			c.candidate.Deployment, c.candidate.Scenario,
			c.candidate.p99(), c.bestP99.p99(), goalStatus(c.metP99()), c.candidate.p999(), c.bestP999.p999(), goalStatus(c.metP999()), errorCounts, c.probeShare)
	}
	fmt.Fprintln(w, "errors: lentilpin/best baseline by p99.9; a failed request counts as 2 s")
	hedged := map[string]bool{"prequal-hedged": true, "leastoutstanding-hedged": true}
	writeGoalCount(w, compareToBaselines(groups, "lentilpin", baselines), "lentilpin against the best baseline")
	writeGoalCount(w, compareToBaselines(groups, "lentilpin-nohedge", baselines), "lentilpin without hedges against the best baseline")
	writeGoalCount(w, compareToBaselines(groups, "lentilpin-routingonly", baselines), "routing alone against the best baseline")
	writeGoalCount(w, compareToBaselines(groups, "lentilpin", hedged), "lentilpin against prequal-hedged and leastoutstanding-hedged")
	writeGoalCount(w, compareToBaselines(groups, "lentilpin-nodomains", baselines), "lentilpin without failure domains against the best baseline")
}

// writeGoalCount writes how many comparisons met the goal and which ones missed it.
func writeGoalCount(w io.Writer, comparisons []comparison, description string) {
	met := 0
	var missed []string
	for _, c := range comparisons {
		for name, ok := range map[string]bool{"p99": c.metP99(), "p99.9": c.metP999()} {
			if ok {
				met++
			} else {
				missed = append(missed, c.candidate.Deployment+"/"+c.candidate.Scenario+"/"+name)
			}
		}
	}
	slices.Sort(missed)
	fmt.Fprintf(w, "goal met in %d of %d comparisons: %s; missed: %s\n", met, 2*len(comparisons), description, cmp.Or(strings.Join(missed, " "), "none"))
}

// comparison pairs a variant with the baselines that have the lowest mean 99th and
// 99.9th percentiles in the same deployment and scenario.
type comparison struct {
	candidate, bestP99, bestP999 *group
	probeShare                   float64 // probes relative to those of the variant prequal
}

func (c *comparison) metP99() bool  { return c.candidate.p99().mean < c.bestP99.p99().mean }
func (c *comparison) metP999() bool { return c.candidate.p999().mean < c.bestP999.p999().mean }

func goalStatus(ok bool) string {
	if ok {
		return "met"
	}
	return "MISSED"
}

// compareToBaselines pairs each group of a policy with the best baselines of the
// same deployment and scenario. It omits groups without a baseline.
func compareToBaselines(groups []*group, policy string, baselines map[string]bool) []comparison {
	var out []comparison
	for _, p := range groups {
		if p.Policy != policy {
			continue
		}
		c := comparison{candidate: p}
		for _, g := range groups {
			if g.Deployment != p.Deployment || g.Scenario != p.Scenario {
				continue
			}
			if g.Policy == "prequal" {
				c.probeShare = p.probes().mean / g.probes().mean
			}
			if !baselines[g.Policy] {
				continue
			}
			if c.bestP99 == nil || g.p99().mean < c.bestP99.p99().mean {
				c.bestP99 = g
			}
			if c.bestP999 == nil || g.p999().mean < c.bestP999.p999().mean {
				c.bestP999 = g
			}
		}
		if c.bestP99 != nil {
			out = append(out, c)
		}
	}
	return out
}

// plotPercentiles lists the percentiles of a plot. The x axis is
// 1 / (1 - percentile) on a logarithmic scale, so each factor of ten adds a nine to
// the percentile.
var plotPercentiles = []float64{50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95}

func writePlots(dir string, groups []*group) error {
	groupsByPlot := map[string][]*group{}
	for _, g := range groups {
		name := g.Deployment + "-" + g.Scenario
		groupsByPlot[name] = append(groupsByPlot[name], g)
	}
	for name, list := range groupsByPlot {
		slices.SortFunc(list, func(a, b *group) int { return strings.Compare(a.Policy, b.Policy) })
		if err := writePlot(filepath.Join(dir, name+".png"), name, list); err != nil {
			return errors.Wrap(err, name)
		}
	}
	return nil
}

func writePlot(file, title string, groups []*group) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "1 / (1 - percentile)"
	p.Y.Label.Text = "latency, ms"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	for i, g := range groups {
		var points plotter.XYs
		for _, percentile := range plotPercentiles {
			points = append(points, plotter.XY{X: 100 / (100 - percentile), Y: max(0.01, g.latencyMS(percentile))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/6)
		p.Add(line)
		p.Legend.Add(g.Policy, line)
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, file)
}
