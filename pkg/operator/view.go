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

// View is what the operator interface shows. It is implemented by the entry and
// must be safe for concurrent use.
type View interface {
	// Identity names the instance that answers.
	Identity() Identity
	// Ready reports whether the load balancer should send requests, and why not.
	Ready() (bool, string)
	// Log returns the records of requests, refusals and changes.
	Log() *audit.Log
	// Backends describes the backend servers of a service in the order of
	// addresses; false if there is no such service.
	Backends(service string) ([]Backend, bool)
	// Settings returns the settings in force; false if there is no such service.
	Settings(service string) (Settings, bool)
	// Instances returns the state of this instance and the members it knows.
	Instances() Instances
	// Draining returns the drain marks in force.
	Draining() []Drain
	// Measuring returns the cost of measuring of each service.
	Measuring() []Measuring
}

// Identity names an instance.
type Identity struct {
	Instance      string `json:"instance"`
	Incarnation   string `json:"incarnation"` // hexadecimal
	FailureDomain string `json:"failure_domain"`
}

// Reply is the frame of every answer.
type Reply[T any] struct {
	Entry  Identity  `json:"entry"`
	Time   time.Time `json:"time"`
	Result T         `json:"result"`
}

// Backend says how an instance sees a backend server and why it gets little
// work, if it does.
type Backend struct {
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	State         string        `json:"state"` // healthy, slow_start, ejected or draining
	StateReason   string        `json:"state_reason"`
	Remaining     time.Duration `json:"remaining_ns"` // of the state; 0: open
	Weight        float64       `json:"weight"`
	Reasons       []string      `json:"reasons"` // strongest first; empty: nothing holds work back
	Picks         uint64        `json:"picks"`
	Share         float64       `json:"share"`
	FairShare     float64       `json:"fair_share"`
	Inflight      int32         `json:"inflight"`
	Limit         int32         `json:"limit"`
	AtLimit       uint64        `json:"at_limit"` // decisions that passed it over at its limit
	Failed        uint64        `json:"failed"`
	ErrorShare    float64       `json:"error_share"`
	Latency       time.Duration `json:"latency_ns"`
	MeanLatency   time.Duration `json:"mean_latency_ns"` // of all backend servers of the service
	HasReport     bool          `json:"has_report"`
	ReportAge     time.Duration `json:"report_age_ns"`
	ReportedLoad  int32         `json:"reported_load"` // requests that run or wait there
	EstimatedLoad float64       `json:"estimated_load"`
	MeanLoad      float64       `json:"mean_load"`
	Ejections     int           `json:"ejections"` // that count for the length of the next one
}

// Settings are the settings of a service in force at an instance.
type Settings struct {
	Service string    `json:"service"`
	Region  string    `json:"region"`
	Version uint64    `json:"version"`
	Since   time.Time `json:"since"`
	Source  string    `json:"source"`
	Values  []Value   `json:"values"` // in the order of paths
}

// Value is one setting with the node of the tree that states it.
type Value struct {
	Path   string `json:"path"`
	Value  string `json:"value"` // JSON
	Origin string `json:"origin"`
}

// Instances are the own state of an instance and the members it knows.
type Instances struct {
	Ready     bool      `json:"ready"`
	Reason    string    `json:"reason"` // why it is not ready
	Version   uint64    `json:"version"`
	Digest    string    `json:"digest"` // hexadecimal
	Since     time.Time `json:"since"`
	Source    string    `json:"source"`
	Confirmed bool      `json:"confirmed"`
	By        string    `json:"by"` // who confirmed the version, or why it is not confirmed
	Members   []Member  `json:"members"`
}

// Member is what an instance knows of an entry.
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

// Drain is a drain mark in force.
type Drain struct {
	Service string        `json:"service"`
	Address string        `json:"address"`
	Source  string        `json:"source"` // of the newest signal: response, peer, list or health
	Age     time.Duration `json:"age_ns"`
}

// Measuring is the cost of measuring one service. The budgets are for the sum
// over all instances, the counts are of this instance since Since.
type Measuring struct {
	Service     string    `json:"service"`
	Since       time.Time `json:"since"`
	All         Probes    `json:"all"`
	CrossDomain Probes    `json:"cross_domain"` // part of All that leaves the failure domain
}

// Probes are the probes under one budget.
type Probes struct {
	BudgetPerSecond      float64       `json:"budget_per_second"`       // all instances
	BudgetBytesPerSecond float64       `json:"budget_bytes_per_second"` // all instances
	Interval             time.Duration `json:"interval_ns"`             // least time between two probes of this instance; 0: none allowed
	Sent                 uint64        `json:"sent"`
	Refused              uint64        `json:"refused"`
}

// DescribeBackend joins what routing and outlier know of a backend server.
func DescribeBackend(e routing.Explanation, i outlier.Info) Backend {
	return Backend{
		Address: e.Address, FailureDomain: e.FailureDomain,
		State: i.State.String(), StateReason: i.Reason, Remaining: i.Remaining, Weight: e.Weight, Reasons: e.Reasons,
		Picks: e.Picks, Share: e.Share, FairShare: e.FairShare, Inflight: e.Inflight, Limit: e.Limit, AtLimit: e.AtLimit,
		Failed: e.Failed, ErrorShare: e.ErrorShare, Latency: e.Latency, MeanLatency: e.MeanLatency,
		HasReport: e.HasReport, ReportAge: e.ReportAge, ReportedLoad: e.Report.Load(),
		EstimatedLoad: e.EstimatedLoad, MeanLoad: e.MeanLoad, Ejections: i.Ejections,
	}
}

// DescribeSettings returns the settings of a service; false if there is none.
func DescribeSettings(s settings.State, region, service string) (Settings, bool) {
	if s.Tree == nil {
		return Settings{}, false
	}
	resolved := s.Tree.Lookup(region, service)
	if resolved == nil {
		return Settings{}, false
	}
	return Settings{
		Service: service, Region: region, Version: s.Tree.Version, Since: s.Since, Source: s.Source, Values: values(resolved),
	}, true
}

func values(r *dynamic.ResolvedService) []Value {
	all := r.Values()
	out := make([]Value, 0, len(all))
	for path, v := range all {
		out = append(out, Value{Path: path, Value: v.JSON, Origin: v.Origin})
	}
	slices.SortFunc(out, func(a, b Value) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// DescribeInstances joins the state of the settings with the members.
func DescribeInstances(s settings.State, ready bool, reason string, members []*peerpb.Member) Instances {
	out := Instances{
		Ready: ready, Reason: reason, Since: s.Since, Source: s.Source, Confirmed: s.Confirmed, By: s.By, Members: []Member{},
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

// DescribeMeasuring joins the budgets of a service with their use.
func DescribeMeasuring(service string, since time.Time, s *dynamic.Service, b *measure.Budgets) Measuring {
	probes := func(messages, bytes float64, u measure.Usage) Probes {
		return Probes{BudgetPerSecond: messages, BudgetBytesPerSecond: bytes, Interval: u.Interval, Sent: u.Sent, Refused: u.Refused}
	}
	m := s.Measuring
	return Measuring{
		Service: service, Since: since,
		All:         probes(m.MessagesPerSecond, m.BytesPerSecond, b.All.Usage()),
		CrossDomain: probes(m.CrossDomainMessagesPerSecond, m.CrossDomainBytesPerSecond, b.CrossDomain.Usage()),
	}
}
