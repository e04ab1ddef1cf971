package bench

import (
	"fmt"
	"slices"
	"time"

	"lentilpin/pkg/admission"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing"
)

// RankedKind is a kind of request in a RankScenario.
type RankedKind struct {
	Name        string
	Priority    int
	Rate        float64       // requests per second, relative to the other kinds
	Work        time.Duration // mean time in a slot at usual speed
	Target      time.Duration // target latency
	Deadline    time.Duration
	BurstFactor float64 // factor on the rate during the burst; 0: 1
}

// RankScenario is requests of several ranks to one service of which one kind arrives in a
// burst. The policy is fresh.
type RankScenario struct {
	Name           string
	Entries        int
	FailureDomains []int         // backend servers in each
	CrossDelay     time.Duration // one-way delay between failure domains
	SlowShare      float64       // backend servers that are 7 times slower, for half a second at a time
	LongShare      float64       // requests that take 7 times as long
	Kinds          []RankedKind
	Load           float64       // share of the slots that the requests need without the burst
	Burst          time.Duration // length of the burst
}

const (
	rankBurstStart   = 3 * time.Second
	rankTail         = time.Second // after the burst
	rankSlowFactor   = 7
	rankSlowPeriod   = 500 * time.Millisecond
	rankQueueLimit   = 24 // requests that wait at a backend server
	rankCallerDelay  = time.Millisecond
	rankLocalDelay   = 300 * time.Microsecond
	rankMaxSends     = 3 // times that a caller sends a request that is refused
	rankMaxAttempts  = 3
	rankSweepPeriod  = 100 * time.Millisecond // of the periodic work of an entry
	rankRetryPeriod  = 25 * time.Millisecond  // of the head of the queue; see gateway
	rankTodaysRetry  = 100 * time.Millisecond // Retry-After without ranks
	rankQueueLength  = 64
	rankQueueMaxWait = 50 * time.Millisecond
)

// renderingKinds returns the kinds of the first deployment of docs/hard-load.md, as if they
// shared one service, with factors on the rates of the most and of the least urgent kind
// during the burst.
func renderingKinds(commitFactor, archiveFactor float64) []RankedKind {
	return []RankedKind{
		{"commits", 0, 158, 200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, commitFactor},
		{"approvals", 1, 68.8, 230 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 1},
		{"archive", 2, 167, 370 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, archiveFactor},
	}
}

// RankScenarios returns the scenarios with the given number of entries; the backend servers
// are those of the smaller service of each deployment.
func RankScenarios(entries int) []RankScenario {
	rendering := RankScenario{Entries: entries, FailureDomains: []int{20, 19, 9}, CrossDelay: 5400 * time.Microsecond, SlowShare: 0.25, Load: 0.7}
	low, high := rendering, rendering
	high.FailureDomains = slices.Clone(rendering.FailureDomains)
	low.Name, low.Kinds, low.Burst = "rendering-low-burst", renderingKinds(1, 2.5), 6*time.Second
	high.Name, high.Kinds, high.Burst, high.Load = "rendering-high-burst", renderingKinds(1.8, 1), 4*time.Second, 0.85
	optician := RankScenario{
		Name: "optician-low-burst", Entries: entries, FailureDomains: []int{7, 9, 9, 7}, CrossDelay: 500 * time.Microsecond,
		SlowShare: 0.3, LongShare: 0.03, Load: 0.7, Burst: 6 * time.Second,
		Kinds: []RankedKind{
			{"confirmations", 0, 154, 220 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, 1},
			{"orders", 1, 163, 410 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second, 1},
			{"reads", 2, 497, 310 * time.Millisecond, time.Second, 3 * time.Second, 2.5},
		},
	}
	return []RankScenario{low, high, optician}
}

// KindResult counts the requests of one kind that arrived during the burst.
type KindResult struct {
	Kind                   string
	Requests               int
	Served, InTarget       int
	LateRefusals, Refusals int // refusals at an entry; late: held for more than an eighth of the target latency
}

// RankResult is the result of one run of a RankScenario.
type RankResult struct {
	Scenario   string
	Entries    int
	Ranked     bool
	Seed       uint64
	Kinds      []KindResult
	QueryRate  float64 // load queries per second and backend server during the whole run
	ShedByFull int     // attempts that backend servers refused
}

// Lines returns one line for each kind.
func (r *RankResult) Lines() (out []string) {
	mode := "today"
	if r.Ranked {
		mode = "ranked"
	}
	for _, k := range r.Kinds {
		n := float64(max(1, k.Requests))
		out = append(out, fmt.Sprintf("%-20s entries=%-3d %-6s seed=%d %-13s requests=%-5d served=%.3f in_target=%.3f refusals=%d late_refusals=%d queries_per_server=%.1f",
			r.Scenario, r.Entries, mode, r.Seed, k.Kind, k.Requests, float64(k.Served)/n, float64(k.InTarget)/n, k.Refusals, k.LateRefusals, r.QueryRate))
	}
	return out
}

// rankRun is the state of one run.
type rankRun struct {
	loop     loop
	scenario *RankScenario
	ranked   bool
	settings *dynamic.Service
	servers  map[string]*rankServer
	entries  []*rankEntry
	random   *randSources
	length   time.Duration
	queries  int
	result   *RankResult
}

// RunRanks plays a scenario with admission by rank or without it. It returns an error if
// the settings are invalid.
func RunRanks(s RankScenario, ranked bool, seed uint64) (*RankResult, error) {
	text := fmt.Sprintf(`{"version": 1, "regions": {"r": {"services": {"s": {"instanceCeiling": %d, "connections": {"perBackend": %d},
		"queue": {"maxRequests": %d, "maxWaitMs": %d, "adaptiveLimit": false}, "routing": {"policy": "fresh"}}}}}}`,
		s.Entries, slotsPerBackend*s.Entries, rankQueueLength, rankQueueMaxWait.Milliseconds())
	tree, err := dynamic.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	run := &rankRun{
		scenario: &s, ranked: ranked, settings: &tree.Lookup("r", "s").Service, servers: map[string]*rankServer{},
		random: newRandSources(seed), length: rankBurstStart + s.Burst + rankTail,
		result: &RankResult{Scenario: s.Name, Entries: s.Entries, Ranked: ranked, Seed: seed},
	}
	if err := run.setUp(seed); err != nil {
		return nil, err
	}
	run.loop.run(run.length + 5*time.Second)
	run.result.QueryRate = float64(run.queries) / run.length.Seconds() / float64(len(run.servers))
	return run.result, nil
}

func (run *rankRun) setUp(seed uint64) error {
	var list []routing.Backend
	for domain, n := range run.scenario.FailureDomains {
		for range n {
			b := routing.Backend{Address: fmt.Sprintf("10.0.0.%d:80", len(list)+1), FailureDomain: domainName(domain)}
			run.servers[b.Address] = &rankServer{run: run, index: len(list), domain: domain}
			list = append(list, b)
		}
	}
	var priorities []int
	for _, k := range run.scenario.Kinds {
		priorities = append(priorities, k.Priority)
		run.result.Kinds = append(run.result.Kinds, KindResult{Kind: k.Name})
	}
	for i := range run.scenario.Entries {
		e, err := newRankEntry(run, i%len(run.scenario.FailureDomains), seed*1000+uint64(i), admission.NewRanks(priorities))
		if err != nil {
			return err
		}
		e.set.Update(0, list)
		run.entries = append(run.entries, e)
		run.loop.every(time.Duration(i)*time.Millisecond%rankSweepPeriod, rankSweepPeriod, run.length, e.wake)
	}
	scale := run.rateScale()
	for i := range run.scenario.Kinds {
		run.generate(i, scale)
	}
	return nil
}

// rateScale returns the factor on the rates of the kinds at which they need the load of the
// scenario without the burst.
func (run *rankRun) rateScale() float64 {
	s := run.scenario
	var need float64
	for _, k := range s.Kinds {
		need += k.Rate * k.Work.Seconds() * (1 + s.LongShare*(rankSlowFactor-1))
	}
	speed := 1 - s.SlowShare + s.SlowShare/rankSlowFactor
	return s.Load * float64(len(run.servers)*slotsPerBackend) * speed / need
}

// generate schedules the requests of a kind. Arrivals and work do not depend on the
// decisions, so that both modes get the same.
func (run *rankRun) generate(kind int, scale float64) {
	k := &run.scenario.Kinds[kind]
	r := newRand(run.result.Seed, 50+uint64(kind))
	var next func()
	next = func() {
		now := run.loop.now
		if now >= run.length {
			return
		}
		work := time.Duration(logNormal(r, sigma) * float64(k.Work))
		if r.Float64() < run.scenario.LongShare {
			work *= rankSlowFactor
		}
		inBurst := now >= rankBurstStart && now < rankBurstStart+run.scenario.Burst
		q := &rankRequest{run: run, kind: kind, start: now, work: work, counted: inBurst}
		if inBurst {
			run.result.Kinds[kind].Requests++
		}
		q.send()
		factor := 1.0
		if inBurst && k.BurstFactor > 0 {
			factor = k.BurstFactor
		}
		run.loop.after(time.Duration(r.ExpFloat64()/(k.Rate*scale*factor)*float64(time.Second)), next)
	}
	run.loop.after(0, next)
}
