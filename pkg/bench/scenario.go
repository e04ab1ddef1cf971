package bench

import (
	"fmt"
	"time"
)

// Deployment is one of the two users' installations.
type Deployment struct {
	Name, Service  string
	FailureDomains int
	CrossDelay     time.Duration // one way between failure domains
}

// Deployments returns the two users' installations.
func Deployments() []Deployment {
	return []Deployment{
		{"finland", "varasto", 3, 5 * time.Millisecond},
		{"bavaria", "katalog", 4, 4 * time.Millisecond},
	}
}

const (
	backends = 20
	entries  = 19
	slots    = 6
	meanWork = 10 * time.Millisecond

	duration = 4 * time.Second        // default Length
	warmup   = 500 * time.Millisecond // arrivals that are not counted
	onset    = time.Second            // when a fault of a scenario begins
)

// Scenario is a pattern of load and faults. The zero values mean no fault.
type Scenario struct {
	Name        string
	Load        float64                                   // share of all slots that the arrivals need
	Burst       func(now time.Duration) float64           // factor on Load
	Slow        func(now time.Duration, i, d int) float64 // factor on the work at backend server i of domain d
	Domain      int                                       // failure domain with Loss
	Loss        float64                                   // share of messages lost
	FailFast    int                                       // backend servers that fail fast from onset
	Cold        int                                       // backend servers that join cold at onset
	CrashEvery  time.Duration                             // period of the request that crashes backend servers
	Length      time.Duration                             // of the arrivals, default 4 s
	ReportDelay time.Duration                             // delay of every load report on top of the network
}

// Scenarios returns all scenarios of the design page.
func Scenarios() []Scenario {
	var list []Scenario
	for _, load := range []int{50, 70, 85, 95} {
		list = append(list, Scenario{Name: fmt.Sprintf("steady%d", load), Load: float64(load) / 100})
	}
	list = append(list,
		Scenario{Name: "jump", Load: 0.55, Burst: jump},
		Scenario{Name: "noisy", Load: 0.6, Slow: noisy},
		Scenario{Name: "domainslow", Load: 0.5, Slow: domainSlow},
		Scenario{Name: "domainlossy", Load: 0.5, Domain: 1, Loss: 0.02},
		Scenario{Name: "failfast", Load: 0.7, FailFast: 2},
		Scenario{Name: "coldstart", Load: 0.6, Cold: 4},
		Scenario{Name: "crash", Load: 0.5, CrashEvery: 250 * time.Millisecond},
	)
	for _, ms := range []int{1, 5, 20, 100} {
		list = append(list, Scenario{Name: fmt.Sprintf("late%d", ms), Load: 0.85, ReportDelay: time.Duration(ms) * time.Millisecond})
	}
	return list
}

// jump more than doubles the load for 50 ms in every 300 ms: 121% of all slots.
func jump(now time.Duration) float64 {
	if now%(300*time.Millisecond) < 50*time.Millisecond {
		return 2.2
	}
	return 1
}

// noisy slows a third of the backend servers to a third of their speed, another
// third every 400 ms. The thirds lie across the failure domains.
func noisy(now time.Duration, i, _ int) float64 {
	if i/3%3 == int(now/(400*time.Millisecond))%3 {
		return 3
	}
	return 1
}

// domainSlow slows the backend servers of one failure domain to a third.
func domainSlow(now time.Duration, _, d int) float64 {
	if d == 1 && now >= onset {
		return 3
	}
	return 1
}
