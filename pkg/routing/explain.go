package routing

import (
	"fmt"
	"time"

	"lentilpin/pkg/routing/lentilpin"
	"lentilpin/pkg/routing/server"
)

// Explanation describes how this instance sees one backend server and why the
// backend server gets less work than others, if it does.
type Explanation struct {
	Address          string // Server.Key of the backend server
	FailureDomain    string
	Known            bool // false: not in the instance list
	Local            bool // in the failure domain of this instance
	Policy           string
	Picks            uint64  // attempts begun since the backend server was listed
	Share            float64 // of all attempts of this instance for the service
	FairShare        float64 // 1 / number of backend servers
	Weight           float64
	Inflight         int32
	Limit            int32
	AtLimit          uint64 // attempts refused because the limit was reached
	RateLimit        RateLimit
	WarmupLeft       time.Duration // how long the backend server is still cold
	HasPermit        bool          // this instance holds a permit for the rate-limited backend server
	Failed           uint64
	ErrorShare       float64
	Latency          time.Duration // of this instance's attempts
	MeanLatency      time.Duration // of all backend servers
	HasReport        bool
	Report           Report
	ReportAge        time.Duration
	EstimatedLoad    float64
	MeanLoad         float64
	ReportConfidence float64  // how well load reports predict latency, 0 to 1
	Reasons          []string // strongest first; empty: nothing reduces the share of work
}

const (
	// meanRatioThreshold is the ratio to the mean above which latency or load is
	// listed as a reason.
	meanRatioThreshold = 1.5
	// errorShareThreshold is the share of failed attempts from which errors are
	// listed as a reason.
	errorShareThreshold = 0.05
)

// Explain explains why the backend server with this key gets little work from this
// instance. Known is false if the backend server is not in the list.
func (s *Set) Explain(now time.Duration, key string) Explanation {
	st := s.settings.Load()
	e := Explanation{Address: key, Policy: st.policyName, MeanLatency: s.stats.MeanLatency(), MeanLoad: s.stats.MeanLoad(), ReportConfidence: s.stats.ReportConfidence()}
	srv := s.Server(key)
	if srv == nil && (*s.evacuated.Load())[key] != nil {
		e.Reasons = []string{ReasonEvacuated}
		return e
	}
	if srv == nil {
		e.Reasons = []string{"not in the instance list of this instance"}
		return e
	}
	e.Known, e.Local, e.FailureDomain = true, srv.Local(), srv.FailureDomain()
	e.Picks, e.Failed, e.AtLimit = srv.Picks(), srv.Failed(), srv.AtLimit()
	e.Weight, e.Inflight, e.Limit = srv.Weight(), srv.Inflight(), srv.Limit()
	e.RateLimit, _ = srv.RateLimit(now)
	e.WarmupLeft, e.HasPermit = srv.WarmupLeft(now), srv.IsRateLimited() && srv.HasPermit()
	e.ErrorShare, e.Latency = srv.ErrorShare(), srv.Latency()
	e.Report, e.ReportAge, e.HasReport = srv.Reported(now)
	e.EstimatedLoad = lentilpin.Load(now, srv, s.stats, s.stats.ReportConfidence())
	e.Share, e.FairShare = s.share(srv)
	e.Reasons = reducedShareReasons(&e, s.list.Load())
	return e
}

// share returns the share of all attempts of this instance that went to srv, and
// the share of each backend server if all got the same.
func (s *Set) share(srv *Server) (share, fair float64) {
	servers := s.Servers()
	var total uint64
	for _, other := range servers {
		total += other.Picks()
	}
	if total > 0 {
		share = float64(srv.Picks()) / float64(total)
	}
	return share, 1 / float64(max(1, len(servers)))
}

// reducedShareReasons lists what reduces the share of work of the backend server
// that e describes, strongest first.
func reducedShareReasons(e *Explanation, l *server.List) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	switch {
	case e.Weight == 0:
		add("weight 0: ejected or draining, gets no new work")
	case e.Weight < 1:
		add("weight %.2f: slow start", e.Weight)
	}
	switch {
	case e.RateLimit.Warmup:
		add("cold for another %s: gets %.1f requests per second from all instances together, by permits (this instance holds one: %t)",
			e.WarmupLeft.Round(time.Millisecond), e.RateLimit.PerSecond, e.HasPermit)
	case e.RateLimit.Stated:
		add("states a rate limit: %.1f requests per second from all instances together", e.RateLimit.PerSecond)
	}
	if e.Inflight >= e.Limit {
		add("at its limit: %d of %d attempts of this instance in flight", e.Inflight, e.Limit)
	}
	if e.ErrorShare >= errorShareThreshold {
		add("%.0f%% of recent attempts failed; a failed attempt counts as a slow one", 100*e.ErrorShare)
	}
	if e.MeanLatency > 0 && float64(e.Latency) > meanRatioThreshold*float64(e.MeanLatency) {
		add("latency %s against a mean of %s", e.Latency.Round(10*time.Microsecond), e.MeanLatency.Round(10*time.Microsecond))
	}
	if e.HasReport && e.EstimatedLoad > meanRatioThreshold*max(1, e.MeanLoad) {
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
