package bench

import (
	"fmt"
	"time"
)

// Deployment describes an installation of the gateway.
type Deployment struct {
	Name, Service  string
	FailureDomains int
	CrossDelay     time.Duration // one-way delay between failure domains
	Workload       *Workload     // nil: 20 backend servers with one kind of request and even demand
}

// Deployments returns models of the installations of the two users.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "finland", Service: "varasto", FailureDomains: 3, CrossDelay: 5 * time.Millisecond},
		{Name: "bavaria", Service: "katalog", FailureDomains: 4, CrossDelay: 4 * time.Millisecond},
	}
}

const (
	backends        = 20
	entries         = 19
	slotsPerBackend = 6
	meanServiceTime = 10 * time.Millisecond // mean time that a request occupies a slot at normal speed

	defaultLength = 4 * time.Second        // default of Scenario.Length
	warmupPeriod  = 500 * time.Millisecond // requests that arrive earlier are not counted
	faultStart    = time.Second            // start of the faults of a scenario
)

// Scenario is a pattern of load and faults. The zero values mean no fault.
type Scenario struct {
	Name             string
	Load             float64                                              // mean share of all slots that the requests occupy; of a Workload, the factor on its rates
	Swing            float64                                              // of a Workload: relative amplitude of the demand of each failure domain
	SlowHeld         bool                                                 // of a Workload: the slowdown at the start of an attempt applies until its end
	LoadFactor       func(now time.Duration) float64                      // factor on Load
	WorkFactor       func(now time.Duration, backend, domain int) float64 // factor on the work at a backend server, by its index and failure domain
	LossDomain       int                                                  // failure domain in which packets are lost
	LossRatio        float64                                              // share of packets lost from faultStart
	FailFastBackends int                                                  // number of backend servers that fail fast from faultStart
	ColdBackends     int                                                  // number of backend servers that are added cold at faultStart
	CrashPeriod      time.Duration                                        // period of the requests that crash backend servers
	Length           time.Duration                                        // time in which requests arrive, default 4 s
	ReportDelay      time.Duration                                        // delay of load reports in addition to the network delay
}

// Scenarios returns all scenarios of docs/design.md.
func Scenarios() []Scenario {
	var list []Scenario
	for _, load := range []int{50, 70, 85, 95} {
		list = append(list, Scenario{Name: fmt.Sprintf("steady%d", load), Load: float64(load) / 100})
	}
	list = append(list,
		Scenario{Name: "jump", Load: 0.55, LoadFactor: jumpLoadFactor},
		Scenario{Name: "noisy", Load: 0.6, WorkFactor: noisyWorkFactor},
		Scenario{Name: "domainslow", Load: 0.5, WorkFactor: slowDomainWorkFactor},
		Scenario{Name: "domainlossy", Load: 0.5, LossDomain: 1, LossRatio: 0.02},
		Scenario{Name: "failfast", Load: 0.7, FailFastBackends: 2},
		Scenario{Name: "coldstart", Load: 0.6, ColdBackends: 4},
		Scenario{Name: "crash", Load: 0.5, CrashPeriod: 250 * time.Millisecond},
	)
	for _, ms := range []int{1, 5, 20, 100} {
		list = append(list, Scenario{Name: fmt.Sprintf("late%d", ms), Load: 0.85, ReportDelay: time.Duration(ms) * time.Millisecond})
	}
	return list
}

// jumpLoadFactor raises the load by a factor of 2.2 for 50 ms in every 300 ms. With
// a Load of 0.55 the requests then need 121% of all slots.
func jumpLoadFactor(now time.Duration) float64 {
	if now%(300*time.Millisecond) < 50*time.Millisecond {
		return 2.2
	}
	return 1
}

// noisyWorkFactor slows a third of the backend servers to a third of their speed
// and switches to another third every 400 ms. Each third spans the failure domains.
func noisyWorkFactor(now time.Duration, backend, _ int) float64 {
	if backend/3%3 == int(now/(400*time.Millisecond))%3 {
		return 3
	}
	return 1
}

// slowDomainWorkFactor slows the backend servers of one failure domain to a third
// of their speed from faultStart.
func slowDomainWorkFactor(now time.Duration, _, domain int) float64 {
	if domain == 1 && now >= faultStart {
		return 3
	}
	return 1
}
