package routing

import (
	"fmt"
	"time"

	"lentilpin/pkg/routing/lentilpin"
	"lentilpin/pkg/routing/server"
)

// Explanation says how this instance sees one backend server and why the
// backend server gets little work, if it does.
type Explanation struct {
	Address       string
	FailureDomain string
	Known         bool // false: not in the instance list
	Local         bool // in the failure domain of this instance
	Policy        string
	Picks         uint64  // attempts begun since the backend server was listed
	Share         float64 // of all attempts of this instance for the service
	FairShare     float64 // 1 / number of backend servers
	Weight        float64
	Inflight      int32
	Limit         int32
	AtLimit       uint64 // decisions that passed it over at its limit
	Failed        uint64
	ErrorShare    float64
	Latency       time.Duration // of this instance's attempts
	MeanLatency   time.Duration // of all backend servers
	HasReport     bool
	Report        Report
	ReportAge     time.Duration
	EstimatedLoad float64
	MeanLoad      float64
	Trust         float64  // how far load reports predict latency, 0 to 1
	Reasons       []string // strongest first; empty: nothing holds work back
}

const (
	// slowFactor is the ratio to the mean from which latency or load is named
	// as a reason.
	slowFactor = 1.5
	// errorReason is the share of failed attempts from which errors are named.
	errorReason = 0.05
)

// Why explains why a backend server gets little work from this instance.
func (s *Set) Why(now time.Duration, address string) Explanation {
	st := s.settings.Load()
	e := Explanation{Address: address, Policy: st.name, MeanLatency: s.shared.MeanLatency(), MeanLoad: s.shared.MeanLoad(), Trust: s.shared.Trust()}
	x := s.Server(address)
	if x == nil {
		e.Reasons = []string{"not in the instance list of this instance"}
		return e
	}
	e.Known, e.Local, e.FailureDomain = true, x.Local(), x.FailureDomain()
	e.Picks, e.Failed, e.AtLimit = x.Picks(), x.Failed(), x.AtLimit()
	e.Weight, e.Inflight, e.Limit = x.Weight(), x.Inflight(), x.Limit()
	e.ErrorShare, e.Latency = x.ErrorShare(), x.Latency()
	e.Report, e.ReportAge, e.HasReport = x.Reported(now)
	e.EstimatedLoad = lentilpin.Load(now, x, s.shared, s.shared.Trust())
	e.Share, e.FairShare = s.share(x)
	e.Reasons = reasons(&e, s.list.Load())
	return e
}

func (s *Set) share(x *Server) (share, fair float64) {
	servers := s.Servers()
	var total uint64
	for _, y := range servers {
		total += y.Picks()
	}
	if total > 0 {
		share = float64(x.Picks()) / float64(total)
	}
	return share, 1 / float64(max(1, len(servers)))
}

func reasons(e *Explanation, l *server.List) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	switch {
	case e.Weight == 0:
		add("weight 0: ejected or draining, gets no new work")
	case e.Weight < 1:
		add("weight %.2f: slow start", e.Weight)
	}
	if e.Inflight >= e.Limit {
		add("at its limit: %d of %d attempts of this instance in flight", e.Inflight, e.Limit)
	}
	if e.ErrorShare >= errorReason {
		add("%.0f%% of recent attempts failed; a failed attempt counts as a slow one", 100*e.ErrorShare)
	}
	if e.MeanLatency > 0 && float64(e.Latency) > slowFactor*float64(e.MeanLatency) {
		add("latency %s against a mean of %s", e.Latency.Round(10*time.Microsecond), e.MeanLatency.Round(10*time.Microsecond))
	}
	if e.HasReport && e.EstimatedLoad > slowFactor*max(1, e.MeanLoad) {
		add("estimated load %.1f requests against a mean of %.1f", e.EstimatedLoad, e.MeanLoad)
	}
	if !e.HasReport {
		add("no load report yet, so the mean load is assumed")
	}
	if e.Policy == "lentilpin" && !e.Local && l.Local() > 0 {
		add("in failure domain %s, which gets work only when the own failure domain costs more", e.FailureDomain)
	}
	return out
}
