package operator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/settings"
)

// View provides the state that the operator interface shows. The entry implements
// it. Implementations must be safe for concurrent use.
type View interface {
	// Identity returns the identity of the instance.
	Identity() Identity
	// Ready reports whether the platform's load balancer should send requests, and
	// the reason if it should not.
	Ready() (bool, string)
	// Log returns the records of requests, refusals and changes.
	Log() *audit.Log
	// Backends describes the backend servers of a service, sorted by address. It
	// returns false if there is no such service.
	Backends(service string) ([]Backend, bool)
	// Settings returns the settings in force for a service. It returns false if
	// there is no such service.
	Settings(service string) (Settings, bool)
	// InstanceState returns the state of this instance and the members that it knows.
	InstanceState() InstanceState
	// DrainMarks returns the drain marks in force.
	DrainMarks() []DrainMark
	// Measuring returns the load probes of each service and their budgets.
	Measuring() []Measuring
	// Hedges returns the hedges of each service and their budgets.
	Hedges() []Hedges
}

// Identity identifies a running instance.
type Identity struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"` // hexadecimal; differs between two runs of the instance
	FailureDomain string `json:"failure_domain"`
}

// Reply is the envelope of every result.
type Reply[T any] struct {
	Entry  Identity  `json:"entry"`
	Time   time.Time `json:"time"`
	Result T         `json:"result"`
}

// Backend is the state of a backend server as seen by one instance, with the
// reasons why the instance sends it few requests, if it does.
type Backend struct {
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	State         string        `json:"state"` // healthy, slow_start, ejected, draining or evacuated
	StateReason   string        `json:"state_reason"`
	Remaining     time.Duration `json:"remaining_ns"` // time left in the state; 0: unlimited
	Weight        float64       `json:"weight"`
	Reasons       []string      `json:"reasons"` // reasons for few requests, strongest first; empty if there are none
	Picks         uint64        `json:"picks"`
	Share         float64       `json:"share"`
	FairShare     float64       `json:"fair_share"`
	Inflight      int32         `json:"inflight"`
	Limit         int32         `json:"limit"`
	AtLimit       uint64        `json:"at_limit"` // decisions that skipped the backend server because it was at its limit
	Failed        uint64        `json:"failed"`
	ErrorShare    float64       `json:"error_share"`
	Latency       time.Duration `json:"latency_ns"`
	MeanLatency   time.Duration `json:"mean_latency_ns"` // over all backend servers of the service
	HasReport     bool          `json:"has_report"`
	ReportAge     time.Duration `json:"report_age_ns"`
	ReportedLoad  int32         `json:"reported_load"` // running and waiting requests
	EstimatedLoad float64       `json:"estimated_load"`
	MeanLoad      float64       `json:"mean_load"`
	ColdLeft      time.Duration `json:"cold_left_ns"` // time until the backend server is warm; 0: it is
	HasPermit     bool          `json:"has_permit"`   // the entry holds a permit for one request to the rate-limited or cold backend server
	Ejections     int           `json:"ejections"`    // number of ejections that determines the duration of the next one
}

// Settings holds the settings of a service that are in force at an instance.
type Settings struct {
	Service string    `json:"service"`
	Region  string    `json:"region"`
	Version uint64    `json:"version"`
	Since   time.Time `json:"since"`
	Source  string    `json:"source"`
	Values  []Value   `json:"values"` // sorted by path
}

// Value is one effective setting with its origin, the node of the settings tree
// that states it.
type Value struct {
	Path   string `json:"path"`
	Value  string `json:"value"` // JSON
	Origin string `json:"origin"`
}

// InstanceState holds the state of an instance and the members that it knows.
type InstanceState struct {
	Ready        bool      `json:"ready"`
	Reason       string    `json:"reason"` // why the instance is not ready
	Version      uint64    `json:"version"`
	Digest       string    `json:"digest"` // SHA-256 of the settings tree, hexadecimal
	Since        time.Time `json:"since"`
	Source       string    `json:"source"`
	Confirmed    bool      `json:"confirmed"`
	Confirmation string    `json:"by"` // source that confirmed the version, or the reason why it is not confirmed
	Members      []Member  `json:"members"`
	// Evacuated holds the evacuated failure domains as this instance knows them.
	Evacuated []EvacuatedDomain `json:"evacuated,omitempty"`
}

// StateEvacuated is the state of a backend server in an evacuated failure domain.
const StateEvacuated = "evacuated"

// EvacuatedDomain is a failure domain whose backend servers get no requests.
type EvacuatedDomain struct {
	FailureDomain string `json:"failure_domain"`
	Backends      int    `json:"backends"` // registered in it; 0: the name may be misspelled
}

// Member is the state of an entry as known to an instance.
type Member struct {
	Instance      string    `json:"instance"`
	Incarnation   string    `json:"incarnation"`
	Address       string    `json:"address"` // of the peer listener
	FailureDomain string    `json:"failure_domain"`
	Ordinal       uint32    `json:"ordinal"`
	Phase         string    `json:"phase"`
	Version       uint64    `json:"version"`
	VersionSince  time.Time `json:"version_since"`
	Started       time.Time `json:"started"`
	Successor     string    `json:"successor,omitempty"`
}

// DrainMark is a drain mark in force.
type DrainMark struct {
	Service string        `json:"service"`
	Address string        `json:"address"`
	Source  string        `json:"source"` // source of the latest drain signal: response, peer, list or health
	Age     time.Duration `json:"age_ns"` // since the latest drain signal
}

// Measuring holds the load probes of one service. The budgets apply to the sum
// over all instances; the counts are those of this instance since Since.
type Measuring struct {
	Service     string      `json:"service"`
	Since       time.Time   `json:"since"`
	All         ProbeBudget `json:"all"`
	CrossDomain ProbeBudget `json:"cross_domain"` // the part of All that is sent to other failure domains
}

// ProbeBudget holds a budget for load probes and its usage.
type ProbeBudget struct {
	BudgetPerSecond      float64       `json:"budget_per_second"`       // sum over all instances
	BudgetBytesPerSecond float64       `json:"budget_bytes_per_second"` // sum over all instances
	Interval             time.Duration `json:"interval_ns"`             // minimum time between two probes of this instance; 0: no probe is allowed
	Sent                 uint64        `json:"sent"`
	Refused              uint64        `json:"refused"` // probes not sent because they were too early or too large for the budget
}

// Hedges counts the hedges of one service at this instance since Since. The ratios are
// hedges per request; 1 is no limit.
type Hedges struct {
	Service         string            `json:"service"`
	Since           time.Time         `json:"since"`
	HedgeRatio      float64           `json:"hedge_ratio"`
	FleetHedgeRatio float64           `json:"fleet_hedge_ratio"` // over all services
	Requests        uint64            `json:"requests"`          // idempotent or not
	Sent            uint64            `json:"sent"`
	Won             uint64            `json:"won"`      // the hedge gave the response
	Canceled        uint64            `json:"canceled"` // another attempt was faster, or the request ended
	Refused         map[string]uint64 `json:"refused"`  // by reason
}

// DescribeBackend combines the state of a backend server in routing and in outlier
// detection.
func DescribeBackend(e routing.Explanation, i outlier.ServerInfo) Backend {
	return Backend{
		Address: e.Address, FailureDomain: e.FailureDomain,
		State: i.State.String(), StateReason: i.Reason, Remaining: i.Remaining, Weight: e.Weight, Reasons: e.Reasons,
		Picks: e.Picks, Share: e.Share, FairShare: e.FairShare, Inflight: e.Inflight, Limit: e.Limit, AtLimit: e.AtLimit,
		Failed: e.Failed, ErrorShare: e.ErrorShare, Latency: e.Latency, MeanLatency: e.MeanLatency,
		HasReport: e.HasReport, ReportAge: e.ReportAge, ReportedLoad: e.Report.Load(),
		EstimatedLoad: e.EstimatedLoad, MeanLoad: e.MeanLoad, Ejections: i.Ejections,
		ColdLeft: e.WarmupLeft, HasPermit: e.HasPermit,
	}
}

// DescribeSettings returns the settings of a service. It returns false if no
// settings are in force or they do not have the service.
func DescribeSettings(s settings.State, region, service string) (Settings, bool) {
	if s.Tree == nil {
		return Settings{}, false
	}
	resolved := s.Tree.Lookup(region, service)
	if resolved == nil {
		return Settings{}, false
	}
	return Settings{
		Service: service, Region: region, Version: s.Tree.Version, Since: s.Since, Source: s.Source, Values: sortedValues(resolved),
	}, true
}

func sortedValues(r *dynamic.ResolvedService) []Value {
	all := r.Values()
	out := make([]Value, 0, len(all))
	for path, v := range all {
		out = append(out, Value{Path: path, Value: v.JSON, Origin: v.Origin})
	}
	slices.SortFunc(out, func(a, b Value) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// DescribeInstanceState combines the state of the settings with the members.
func DescribeInstanceState(s settings.State, ready bool, reason string, members []*peerpb.Member) InstanceState {
	out := InstanceState{
		Ready: ready, Reason: reason, Since: s.Since, Source: s.Source, Confirmed: s.Confirmed, Confirmation: s.Confirmation, Members: []Member{},
	}
	if s.Tree != nil {
		out.Version, out.Digest = s.Tree.Version, fmt.Sprintf("%x", s.Tree.Digest)
	}
	for _, m := range members {
		out.Members = append(out.Members, Member{
			Instance: m.GetInstance(), Incarnation: fmt.Sprintf("%016x", m.GetIncarnation()), Address: m.GetAddress(),
			FailureDomain: m.GetFailureDomain(), Ordinal: m.GetOrdinal(),
			Phase:   strings.ToLower(strings.TrimPrefix(m.GetPhase().String(), "PHASE_")),
			Version: m.GetVersion(), VersionSince: time.UnixMilli(m.GetVersionSinceUnixMs()).UTC(),
			Started: time.UnixMilli(m.GetStartedUnixMs()).UTC(), Successor: m.GetSuccessor(),
		})
	}
	return out
}

// DescribeMeasuring combines the probe budgets of a service with their usage.
func DescribeMeasuring(service string, since time.Time, s *dynamic.Service, b *measure.Budgets) Measuring {
	newBudget := func(messages, bytes float64, usage measure.Usage) ProbeBudget {
		return ProbeBudget{BudgetPerSecond: messages, BudgetBytesPerSecond: bytes, Interval: usage.Interval, Sent: usage.Sent, Refused: usage.Refused}
	}
	m := s.Measuring
	return Measuring{
		Service: service, Since: since,
		All:         newBudget(m.MessagesPerSecond, m.BytesPerSecond, b.All.Usage()),
		CrossDomain: newBudget(m.CrossDomainMessagesPerSecond, m.CrossDomainBytesPerSecond, b.CrossDomain.Usage()),
	}
}
