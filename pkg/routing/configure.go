package routing

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/routing/fresh"
	"lentilpin/pkg/routing/leastoutstanding"
	"lentilpin/pkg/routing/lentilpin"
	"lentilpin/pkg/routing/p2c"
	"lentilpin/pkg/routing/p2creported"
	"lentilpin/pkg/routing/prequal"
	"lentilpin/pkg/routing/random"
	"lentilpin/pkg/routing/roundrobin"
	"lentilpin/pkg/routing/server"
)

// activeSettings holds the settings in force and the policy built from them.
// Configure replaces it as a whole.
type activeSettings struct {
	settings        *dynamic.Service
	policyName      string
	policy          server.Policy
	probeListener   server.ProbeListener        // nil: the policy does not store probe replies
	querier         server.LoadQuerier          // nil: the policy sends no load queries
	capacityChecker server.SpareCapacityChecker // nil: the policy does not estimate spare capacity
	headroomChecker server.HeadroomChecker      // nil: the policy does not estimate headroom
}

// errorLatency returns the minimum latency that a failed attempt contributes to
// the latency estimate. A quarter of the attempt timeout is far above any healthy
// latency.
func errorLatency(settings *dynamic.Service) time.Duration {
	return dynamic.MillisToDuration(settings.AttemptTimeoutMS) / 4
}

// Configure applies new settings. The policy keeps its state unless its name or
// parameters change. If the settings name a policy that does not exist, Configure
// returns ErrUnknownPolicy and keeps the previous settings.
func (s *Set) Configure(settings *dynamic.Service) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.settings.Load()
	next := &activeSettings{settings: settings, policyName: settings.Routing.Policy}
	if old != nil && old.settings.Routing == settings.Routing {
		next.policy = old.policy
	} else {
		policy, err := s.newPolicy(settings)
		if err != nil {
			return err
		}
		next.policy = policy
	}
	next.probeListener, _ = next.policy.(server.ProbeListener)
	next.querier, _ = next.policy.(server.LoadQuerier)
	next.capacityChecker, _ = next.policy.(server.SpareCapacityChecker)
	next.headroomChecker, _ = next.policy.(server.HeadroomChecker)
	s.stats.SetErrorLatency(errorLatency(settings))
	s.settings.Store(next)
	if old != nil && old.settings.ConnectionsPerInstance() != settings.ConnectionsPerInstance() {
		for _, srv := range slices.Concat(s.Servers(), s.Evacuated()) {
			srv.SetLimit(int32(settings.ConnectionsPerInstance()))
		}
	}
	return nil
}

func (s *Set) newPolicy(settings *dynamic.Service) (server.Policy, error) {
	switch r := settings.Routing; r.Policy {
	case "lentilpin":
		return lentilpin.New(lentilpin.Options{
			Choices:            r.Choices,
			CrossDomainPenalty: time.Duration(r.CrossDomainPenaltyMS * float64(time.Millisecond)),
		}, s.stats), nil
	case "fresh":
		return fresh.New(fresh.Options{
			MaxLoadQueries: r.MaxLoadQueries, CrossDomainPenalty: r.CrossDomainPenaltyRatio, MaxCost: r.MaxLatencyRatio,
			MaxAge: dynamic.MillisToDuration(r.ReportMaxAgeMS),
		}, s.stats), nil
	case "prequal":
		return prequal.New(), nil
	case "random":
		return random.Policy{}, nil
	case "roundrobin":
		return roundrobin.New(s.options.Seed), nil
	case "leastoutstanding":
		return leastoutstanding.Policy{}, nil
	case "p2c":
		return p2c.Policy{}, nil
	case "p2creported":
		return p2creported.Policy{}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", r.Policy)
	}
}
