package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/route"
)

// Kind is a kind of request of a Workload.
type Kind struct {
	Name          string
	PerSecond     float64       // over all failure domains
	Work          time.Duration // mean time in a slot at normal speed
	HeavyRatio    float64       // share of the requests that take heavyFactor times as long
	TargetLatency time.Duration // a response within it has its full value; 0: none
	Deadline      time.Duration // the caller's
	Timeout       time.Duration // of one attempt of an idempotent request
	Idempotent    bool
}

// Workload describes a service with several kinds of requests, uneven demand, uneven
// numbers of backend servers, and backend servers that are slow for a short time.
type Workload struct {
	Entries               int
	BackendsByDomain      []int
	DemandByDomain        []float64 // relative to each other
	SlowRatio             float64   // share of the backend servers that are slow at a time
	LoadQueriesPerBackend float64   // bound of the load queries per backend server and second
	Kinds                 []Kind
}

const (
	workloadSlowFactor    = 7.0
	workloadSlowPeriod    = 500 * time.Millisecond // a backend server is slow or not for this time
	workloadQueueCapacity = 24
	workloadSigma         = 0.15 // of the logarithm of the work; once for the request, once for the attempt
	heavyFactor           = 7.0
	swingRatio            = 0.55
	swingPeriod           = 17 * time.Second
	// attemptBytes is assumed for a request and its response.
	attemptBytes       = 2048
	localQueryTimeout  = 10 * time.Millisecond // as in package gateway
	remoteQueryTimeout = 40 * time.Millisecond
	// workloadSweepPeriod is longer than the 100 ms of package gateway, so that runs with
	// many entries stay short.
	workloadSweepPeriod = 500 * time.Millisecond
)

// WorkloadDeployments returns two deployments with uneven demand and servers, with
// several numbers of entries, and one of them with even demand and servers.
func WorkloadDeployments() []Deployment {
	three := func(name string, entries int, servers []int, demand []float64) Deployment {
		return Deployment{
			Name: name, Service: "three", FailureDomains: 3, CrossDelay: 5400 * time.Microsecond,
			Workload: &Workload{
				Entries: entries, BackendsByDomain: servers, DemandByDomain: demand, SlowRatio: 0.25, LoadQueriesPerBackend: 60,
				Kinds: []Kind{
					{Name: "reads", PerSecond: 446, Work: 290 * time.Millisecond, TargetLatency: 800 * time.Millisecond, Deadline: 2 * time.Second, Timeout: 1200 * time.Millisecond, Idempotent: true},
					{Name: "jobs", PerSecond: 167, Work: 370 * time.Millisecond, TargetLatency: 2 * time.Second, Deadline: 2500 * time.Millisecond},
					{Name: "calls", PerSecond: 226.8, Work: 100 * time.Millisecond, TargetLatency: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond},
				},
			},
		}
	}
	four := func(name string, entries int) Deployment {
		return Deployment{
			Name: name, Service: "four", FailureDomains: 4, CrossDelay: 500 * time.Microsecond,
			Workload: &Workload{
				Entries: entries, BackendsByDomain: []int{70, 46, 60, 35}, DemandByDomain: []float64{1, 1, 1, 1}, SlowRatio: 0.3, LoadQueriesPerBackend: 42,
				Kinds: []Kind{
					{Name: "reads", PerSecond: 497, Work: 310 * time.Millisecond, HeavyRatio: 0.03, TargetLatency: time.Second, Deadline: 6 * time.Second, Timeout: 3 * time.Second, Idempotent: true},
					{Name: "orders", PerSecond: 163, Work: 410 * time.Millisecond, HeavyRatio: 0.03, TargetLatency: 1200 * time.Millisecond, Deadline: 8 * time.Second},
					{Name: "calls", PerSecond: 154, Work: 100 * time.Millisecond, HeavyRatio: 0.03, TargetLatency: 600 * time.Millisecond, Deadline: 6 * time.Second},
				},
			},
		}
	}
	uneven, unevenDemand := []int{41, 69, 82}, []float64{372, 218, 250}
	return []Deployment{
		three("three-20", 20, uneven, unevenDemand), three("three-133", 133, uneven, unevenDemand),
		four("four-20", 20), four("four-214", 214),
		three("even-20", 20, []int{64, 64, 64}, []float64{1, 1, 1}), three("even-133", 133, []int{64, 64, 64}, []float64{1, 1, 1}),
	}
}

// WorkloadScenarios returns the scenarios of a Workload. Load is a factor on the
// usual rates of requests.
func WorkloadScenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Load: 1, Length: workloadLength},
		{Name: "busy", Load: 2, Length: workloadLength},
		{Name: "heavy", Load: 3, Length: workloadLength},
		{Name: "swing", Load: 1.6, Swing: swingRatio, Length: workloadLength},
		{Name: "held", Load: 1, SlowHeld: true, Length: workloadLength},
	}
}

// workloadLength covers one period of the swing and the warmup.
const workloadLength = swingPeriod + warmupPeriod

// isInWorkloadPlan leaves out combinations that show nothing further, so that all runs
// take about a minute.
func (j *Job) isInWorkloadPlan() bool {
	isLarge := j.Deployment.Workload.Entries > 100 && j.Deployment.Name != "even-133"
	comparesHedges := isLarge && !j.Scenario.SlowHeld && j.Scenario.Name != "heavy"
	return comparesHedges || j.Variant.Name == "fresh" || isLarge && j.Variant.HedgePercent == 0
}

// WorkloadVariants returns the variants that run a Workload.
func WorkloadVariants() []Variant {
	list := []Variant{
		{Name: "fresh", Policy: "fresh", Protections: true, Hedge: true, HedgePercent: 100},
		{Name: "fresh-unchecked", Policy: "fresh", Protections: true, Hedge: true, HedgePercent: 100, UncheckedHedge: true},
	}
	for _, percent := range []float64{0, 1, 2, 5} {
		list = append(list, Variant{Name: fmt.Sprintf("fresh-hedge%g", percent), Policy: "fresh", Protections: true, Hedge: true, HedgePercent: percent})
	}
	return list
}

// workloadSettings are the settings that the platform's deployments use.
func workloadSettings(d Deployment, v Variant) string {
	return fmt.Sprintf(`{"version": 1, "regions": {%q: {"services": {%q: {
		"timeoutMs": 10000, "attemptTimeoutMs": 9000,
		"queue": {"maxRequests": 64, "maxWaitMs": 50, "adaptiveLimit": false},
		"routing": {"policy": %q, "reportMaxAgeMs": 15, "maxProbes": 3, "crossDomainPenaltyRatio": 0.6},
		"measuring": {"messagesPerSecond": 0, "bytesPerSecond": 0, "crossDomainMessagesPerSecond": 0, "crossDomainBytesPerSecond": 0, "questionsPerBackend": %g},
		"retry": {"maxAttempts": 2, "budgetRatio": 0.17, "minPerSecond": 0, "burst": 3, "fleetBurst": 206, "hedge": %t, "hedgeRatio": %g},
		"outlier": {"errorRatio": 0.3, "minRequests": 4, "ejectMs": 3000, "maxEjectMs": 12000, "maxEjectRatio": 0.4, "slowStartMs": 0, "latencyFactor": 1000}
	}}}}}`, d.Name, d.Service, v.Policy, d.Workload.LoadQueriesPerBackend, v.Hedge, v.HedgePercent/100)
}

func (d *Deployment) backendCount() int {
	if d.Workload == nil {
		return backends
	}
	n := 0
	for _, x := range d.Workload.BackendsByDomain {
		n += x
	}
	return n
}

func (d *Deployment) entryCount() int {
	if d.Workload == nil {
		return entries
	}
	return d.Workload.Entries
}

// backendDomain returns the failure domain of a backend server.
func (d *Deployment) backendDomain(index int) int {
	if d.Workload == nil {
		return index % d.FailureDomains
	}
	domain := 0
	for index >= d.Workload.BackendsByDomain[domain] {
		index -= d.Workload.BackendsByDomain[domain]
		domain++
	}
	return domain
}

// queueCapacity returns the number of requests that wait at a backend server.
func (d *Deployment) queueCapacity() int {
	if d.Workload == nil {
		return queueCapacity
	}
	return workloadQueueCapacity
}

// newRoutes returns the routes of the kinds of requests at one entry.
func (w *Workload) newRoutes() map[*Kind]*route.Route {
	routes := map[*Kind]*route.Route{}
	if w == nil {
		return routes
	}
	for i := range w.Kinds {
		k := &w.Kinds[i]
		routes[k] = &route.Route{Route: dynamic.Route{TargetLatencyMS: int(k.TargetLatency.Milliseconds())}, BaselineLatency: &route.BaselineLatency{}}
	}
	return routes
}

// generateWorkload schedules the requests of a Workload: a Poisson process for each
// failure domain, whose requests go to its entries at random.
func (sim *simulation) generateWorkload(times, work *rand.Rand) {
	w, d := sim.deployment.Workload, sim.deployment
	totalRate, totalDemand := 0.0, 0.0
	for _, k := range w.Kinds {
		totalRate += k.PerSecond * sim.scenario.Load
	}
	for _, x := range w.DemandByDomain {
		totalDemand += x
	}
	for domain, share := range w.DemandByDomain {
		maxRate := totalRate * share / totalDemand * (1 + sim.scenario.Swing)
		phase := 2 * math.Pi * float64(domain) / float64(d.FailureDomains)
		var next func()
		next = func() {
			now := sim.loop.now
			if now >= sim.scenario.Length {
				return
			}
			level := 1 + sim.scenario.Swing*math.Sin(2*math.Pi*now.Seconds()/swingPeriod.Seconds()+phase)
			if times.Float64()*(1+sim.scenario.Swing) < level {
				sim.arriveOfKind(domain, times, work)
			}
			sim.loop.after(time.Duration(times.ExpFloat64()/maxRate*float64(time.Second)), next)
		}
		sim.loop.after(0, next)
	}
}

// arriveOfKind creates a request of a random kind at a random entry of a failure
// domain.
func (sim *simulation) arriveOfKind(domain int, times, work *rand.Rand) {
	w, n := sim.deployment.Workload, sim.deployment.FailureDomains
	point, total := times.Float64(), 0.0
	for _, k := range w.Kinds {
		total += k.PerSecond
	}
	i := 0
	for point *= total; i < len(w.Kinds)-1 && point >= w.Kinds[i].PerSecond; i++ {
		point -= w.Kinds[i].PerSecond
	}
	k := &w.Kinds[i]
	entriesOfDomain := (w.Entries - domain + n - 1) / n
	e := sim.entries[domain+n*times.IntN(entriesOfDomain)]
	factor := float64(k.Work) / float64(meanServiceTime) * logNormal(work, workloadSigma)
	if work.Float64() < k.HeavyRatio {
		factor *= heavyFactor
	}
	e.accept(&request{entry: e, arrivedAt: sim.loop.now, work: factor, kind: k})
}

// isSlow reports whether a backend server of a Workload is slow. Each changes at times
// of its own.
func (b *backend) isSlow(now time.Duration) bool {
	w := b.simulation.deployment.Workload
	if w == nil {
		return false
	}
	period := uint64((now + b.slowPhase()) / workloadSlowPeriod)
	var source rand.PCG
	source.Seed(b.simulation.seed, uint64(b.index)<<32|period)
	return float64(source.Uint64()>>11)/(1<<53) < w.SlowRatio
}

func (b *backend) slowPhase() time.Duration {
	return time.Duration(b.index*7919%int(workloadSlowPeriod.Milliseconds())) * time.Millisecond
}

func (b *backend) slowFactor(now time.Duration) float64 {
	if b.isSlow(now) {
		return workloadSlowFactor
	}
	return 1
}

// duration returns how long an attempt that starts now holds its slot. The slowdown at
// each moment applies, or, if the scenario holds it, that of the start until the end.
func (b *backend) duration(work time.Duration) time.Duration {
	now := b.simulation.loop.now
	if b.simulation.deployment.Workload == nil {
		return work
	}
	if b.simulation.scenario.SlowHeld {
		return time.Duration(float64(work) * b.slowFactor(now))
	}
	at, left := now, float64(work)
	for {
		factor := b.slowFactor(at)
		end := (at+b.slowPhase())/workloadSlowPeriod*workloadSlowPeriod + workloadSlowPeriod - b.slowPhase()
		if done := float64(end-at) / factor; done < left {
			left -= done
			at = end
			continue
		}
		return at - now + time.Duration(left*factor)
	}
}
