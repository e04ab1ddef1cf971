package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/routing"
)

// Variant is a routing policy together with the enabled gateway mechanisms.
type Variant struct {
	Name           string
	Policy         string
	Protections    bool // ejection, slow start, adaptive limits and quarantine
	Hedge          bool
	HedgePercent   float64 // of a Workload: limit of the hedges as a share of the requests
	UncheckedHedge bool    // of a Workload: hedges do not depend on the load reports of the first backend server
	Baseline       bool    // counts as a baseline in the summary
	IgnoresDomains bool    // entries see all backend servers in their own failure domain
}

// Variants returns lentilpin as the gateway runs it, its ablations, the two
// strongest baselines with the same mechanisms as lentilpin, and the baselines,
// which are the routing policy alone.
func Variants() []Variant {
	list := []Variant{
		{Name: "lentilpin", Policy: "lentilpin", Protections: true, Hedge: true},
		{Name: "lentilpin-nohedge", Policy: "lentilpin", Protections: true},
		{Name: "lentilpin-routingonly", Policy: "lentilpin"},
		{Name: "lentilpin-nodomains", Policy: "lentilpin", Protections: true, Hedge: true, IgnoresDomains: true},
		{Name: "prequal", Policy: "prequal", Baseline: true},
		{Name: "prequal-hedged", Policy: "prequal", Protections: true, Hedge: true},
		{Name: "leastoutstanding-hedged", Policy: "leastoutstanding", Protections: true, Hedge: true},
	}
	for _, name := range []string{"random", "roundrobin", "leastoutstanding", "p2c", "p2creported"} {
		list = append(list, Variant{Name: name, Policy: name, Baseline: true})
	}
	return list
}

// crashFingerprint is the fingerprint of the request that crashes backend servers.
var crashFingerprint = quarantine.Fingerprint("GET", "/crash", nil)

// Parameters of the exchange between entries.
const (
	exchangeInterval            = 500 * time.Millisecond
	crossDomainExchangeInterval = 4 // every fourth exchange is with an entry in another failure domain
)

// Result holds the counts and latencies of one run.
type Result struct {
	Deployment, Scenario, Policy string
	Seed                         uint64
	Requests, Errors             int
	Probes, ProbeBytes           int
	CrossDomainProbes            int
	CrossDomainRequests          int
	Retries, Hedges              int
	Attempts                     int     // hedges and retries included
	InTime                       int     // requests of a Workload answered within their target latency
	LoadQueries                  int     // before decisions
	Bytes, CrossDomainBytes      int     // of attempts and load queries
	WorkRatio                    float64 // slot time of canceled attempts relative to that of finished ones
	MaxSlotQueue                 int
	BudgetUsedRatio              float64
	Latency                      *hdrhistogram.Histogram // microseconds; of a Workload, idempotent requests only
	WorstDomainInTime            float64                 // least share of the requests of a failure domain that were answered in time
	SpillDispersion              float64                 // see spill.dispersion
	SpillHerding                 float64                 // see spill.herding
	SpillLocalIdle               float64                 // share of the crossing attempts while an own candidate was fast and at most half full
}

// simulation is the state of one run with one deployment, scenario, variant and
// seed.
type simulation struct {
	deployment        *Deployment
	scenario          *Scenario
	variant           *Variant
	settings          *dynamic.Service
	loop              loop
	network           network
	entries           []*entry
	backends          []*backend
	backendsByAddress map[string]*backend
	result            *Result
	seed              uint64
	spill             spill

	domainRequests, domainInTime [maxDomains]int
	usefulTime, wastedTime       time.Duration // slot time of finished and of canceled attempts
}

// maxDomains is the largest number of failure domains of a deployment.
const maxDomains = 4

// maxRecordedLatency is the upper bound of the latency histograms. It exceeds the
// request timeout, which is recorded as the latency of failed requests.
const maxRecordedLatency = 10 * time.Second

// Run simulates one deployment, scenario, variant and seed. It returns an error if
// the settings or the policy of the variant are invalid.
func Run(d Deployment, s Scenario, v Variant, seed uint64) (*Result, error) {
	s.Length = cmp.Or(s.Length, defaultLength)
	settings, err := newSettings(d, v)
	if err != nil {
		return nil, err
	}
	sim := &simulation{
		seed:       seed,
		deployment: &d, scenario: &s, variant: &v, settings: settings,
		backendsByAddress: map[string]*backend{},
		network:           network{rand: newRand(seed, 1), crossDelay: d.CrossDelay, scenario: &s},
		result: &Result{
			Deployment: d.Name, Scenario: s.Name, Policy: v.Name, Seed: seed,
			Latency: hdrhistogram.New(1, maxRecordedLatency.Microseconds(), 3),
		},
	}
	if err := sim.setUp(seed); err != nil {
		return nil, err
	}
	sim.loop.run(s.Length + 2*settings.Timeout())
	sim.summarize()
	for _, x := range sim.backends {
		sim.result.MaxSlotQueue = max(sim.result.MaxSlotQueue, x.longestQueue)
	}
	allowedProbes := settings.Measuring.MessagesPerSecond * s.Length.Seconds()
	if allowedProbes > 0 {
		sim.result.BudgetUsedRatio = float64(sim.result.Probes) / allowedProbes
	}
	return sim.result, nil
}

// newRand returns a random source. Each stream of a seed is independent.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func domainName(d int) string { return fmt.Sprintf("domain-%c", 'a'+d) }

// newSettings returns the default settings with the policy of the variant.
func newSettings(d Deployment, v Variant) (*dynamic.Service, error) {
	text := fmt.Sprintf(`{"version": 1, "regions": {%q: {"services": {%q: {"routing": {"policy": %q}}}}}}`,
		d.Name, d.Service, v.Policy)
	if d.Workload != nil {
		text = workloadSettings(d, v)
	}
	tree, err := dynamic.Parse([]byte(text))
	if err != nil {
		return nil, errors.Wrap(err, "settings of the bench")
	}
	s := tree.Lookup(d.Name, d.Service).Service
	return &s, nil
}

// setUp creates the backend servers and entries and schedules the arrivals,
// faults and periodic tasks.
func (sim *simulation) setUp(seed uint64) error {
	var allBackends []routing.Backend
	backends := sim.deployment.backendCount()
	for i := range backends {
		x := &backend{simulation: sim, index: i, domain: sim.deployment.backendDomain(i), coldSince: -1, rand: newRand(seed, 1000+uint64(i))}
		address := fmt.Sprintf("10.0.0.%d:80", i+1)
		sim.backends, sim.backendsByAddress[address] = append(sim.backends, x), x
		allBackends = append(allBackends, routing.Backend{Address: address, FailureDomain: domainName(x.domain)})
	}
	for i := range sim.deployment.entryCount() {
		e, err := newEntry(sim, i, i%sim.deployment.FailureDomains, seed*1000+uint64(i))
		if err != nil {
			return err
		}
		e.updateBackends(sim.listedBackends(e, allBackends[:backends-sim.scenario.ColdBackends]))
		sim.entries = append(sim.entries, e)
		sweepPeriod := 100 * time.Millisecond
		if sim.deployment.Workload != nil {
			sweepPeriod = workloadSweepPeriod
		}
		if !e.routingSet.QueriesLoad() {
			sim.loop.every(time.Duration(i)*time.Millisecond, 5*time.Millisecond, sim.scenario.Length, e.sendProbes)
		}
		sim.loop.every(time.Duration(i)*5*time.Millisecond, sweepPeriod, sim.scenario.Length, e.sweepOutliers)
	}
	sim.loop.after(faultStart, func() { sim.injectFaults(allBackends) })
	sim.generateArrivals(newRand(seed, 2), newRand(seed, 3))
	sim.startExchanges(newRand(seed, 4))
	return nil
}

// listedBackends returns the backend servers with the failure domains that an
// entry sees.
func (sim *simulation) listedBackends(e *entry, list []routing.Backend) []routing.Backend {
	if !sim.variant.IgnoresDomains {
		return list
	}
	relabeled := make([]routing.Backend, len(list))
	for i, x := range list {
		relabeled[i] = routing.Backend{Address: x.Address, FailureDomain: domainName(e.domain)}
	}
	return relabeled
}

// injectFaults starts the faults of the scenario and adds the cold backend servers
// to the lists of the entries.
func (sim *simulation) injectFaults(allBackends []routing.Backend) {
	for i := range sim.scenario.FailFastBackends {
		sim.backends[7*i+1].failsFast = true
	}
	for _, x := range sim.backends[len(sim.backends)-sim.scenario.ColdBackends:] {
		x.coldSince = faultStart
	}
	if sim.scenario.ColdBackends > 0 {
		for _, e := range sim.entries {
			e.updateBackends(sim.listedBackends(e, allBackends))
		}
	}
}

// generateArrivals schedules the requests. Their arrival times and work come from
// random sources that nothing else uses, so they are the same for all variants of
// a seed.
func (sim *simulation) generateArrivals(times, work *rand.Rand) {
	if sim.deployment.Workload != nil {
		sim.generateWorkload(times, work)
		return
	}
	rate := sim.scenario.Load * backends * slotsPerBackend / meanServiceTime.Seconds()
	var next func()
	next = func() {
		now := sim.loop.now
		if now >= sim.scenario.Length {
			return
		}
		e := sim.entries[times.IntN(entries)]
		e.accept(&request{entry: e, arrivedAt: now, work: logNormal(work, sigma)})
		factor := 1.0
		if sim.scenario.LoadFactor != nil {
			factor = sim.scenario.LoadFactor(now)
		}
		sim.loop.after(time.Duration(times.ExpFloat64()/(rate*factor)*float64(time.Second)), next)
	}
	sim.loop.after(0, next)
	if sim.scenario.CrashPeriod > 0 {
		sim.loop.every(faultStart, sim.scenario.CrashPeriod, sim.scenario.Length, func() {
			e := sim.entries[work.IntN(entries)]
			e.accept(&request{entry: e, arrivedAt: sim.loop.now, work: 0.2, crash: true})
		})
	}
}

// startExchanges schedules the exchanges between entries. In an exchange, two
// entries send each other their quarantined fingerprints. Exchanges carry no load
// reports, so their messages do not count as probes.
func (sim *simulation) startExchanges(r *rand.Rand) {
	for i, e := range sim.entries {
		round := 0
		sim.loop.every(time.Duration(i)*20*time.Millisecond, exchangeInterval, sim.scenario.Length, func() {
			round++
			randomPeer := sim.randomPeer(r, e, round%crossDomainExchangeInterval == 0)
			sim.sendQuarantines(e, randomPeer)
			sim.loop.after(sim.network.delay(sim.loop.now, e.domain, randomPeer.domain), func() { sim.sendQuarantines(randomPeer, e) })
		})
	}
}

// randomPeer returns a random other entry, in another failure domain if
// crossDomain is set and in the same one otherwise.
func (sim *simulation) randomPeer(r *rand.Rand, e *entry, crossDomain bool) *entry {
	for {
		if p := sim.entries[r.IntN(len(sim.entries))]; p != e && (p.domain != e.domain) == crossDomain {
			return p
		}
	}
}

// sendQuarantines sends the active quarantines of one entry to another.
func (sim *simulation) sendQuarantines(from, to *entry) {
	active := from.quarantines.ActiveQuarantines(sim.loop.now)
	sim.loop.after(sim.network.delay(sim.loop.now, from.domain, to.domain), func() {
		for _, x := range active {
			to.quarantines.Merge(sim.loop.now, x.Fingerprint, x.Remaining)
		}
	})
}

// addProbeMessages counts messages and bytes of load probes.
func (r *Result) addProbeMessages(messages, bytes int, crossDomain bool) {
	r.Probes += messages
	r.ProbeBytes += bytes
	if crossDomain {
		r.CrossDomainProbes += messages
	}
}

// afterReportDelay runs f after the report delay of the scenario.
func (sim *simulation) afterReportDelay(f func()) {
	if sim.scenario.ReportDelay == 0 {
		f()
		return
	}
	sim.loop.after(sim.scenario.ReportDelay, f)
}

// recordRequest adds a completed request to the result. Requests that crash
// backend servers are not counted, only their effect on other requests, and
// neither are requests that arrived during the warmup.
func (sim *simulation) recordRequest(r *request, ok bool) {
	if r.crash || r.arrivedAt < warmupPeriod {
		return
	}
	sim.result.Requests++
	latency := sim.loop.now - r.arrivedAt
	if !ok {
		sim.result.Errors++
		latency = r.timeout()
	}
	if r.kind != nil {
		sim.domainRequests[r.entry.domain]++
		if ok && latency <= r.kind.TargetLatency {
			sim.result.InTime++
			sim.domainInTime[r.entry.domain]++
		}
		if !r.kind.Idempotent {
			return
		}
	}
	// The value is always within the range of the histogram.
	_ = sim.result.Latency.RecordValue(max(1, latency.Microseconds()))
}

// summarize derives the ratios of the result from the counts of the run.
func (sim *simulation) summarize() {
	r := sim.result
	if sim.deployment.Workload != nil {
		r.WorstDomainInTime = 1
	}
	for i := range sim.deployment.FailureDomains {
		r.WorstDomainInTime = min(r.WorstDomainInTime, ratio(sim.domainInTime[i], sim.domainRequests[i]))
	}
	r.SpillDispersion, r.SpillHerding = sim.spill.dispersion(), sim.spill.herding()
	r.SpillLocalIdle = ratio(sim.spill.localIdle, sim.spill.attempts)
	r.WorkRatio = quotient(float64(sim.wastedTime), float64(sim.usefulTime))
}

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b int) float64 { return quotient(float64(a), float64(b)) }
