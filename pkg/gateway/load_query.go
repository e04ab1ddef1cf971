package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"lentilpin/pkg/measure"
	"lentilpin/pkg/routing"
)

const (
	// localQueryTimeout and remoteQueryTimeout bound how long a decision waits
	// for load queries in the failure domain of this instance and in others.
	// They cover the round trip, the processing of the reply and some
	// scheduling delay on both sides.
	localQueryTimeout  = 10 * time.Millisecond
	remoteQueryTimeout = 40 * time.Millisecond
	// queryBufferSize is the initial capacity of the slices of backend servers
	// and replies of one round. The default of routing.maxProbes is 3.
	queryBufferSize = 4
)

// queryLoads queries the backend servers whose load the policy needs for its
// decision. The first round covers some backend servers of the own failure
// domain. While the known loads are too high, the second round covers more of
// the same failure domain and the third those of other failure domains.
func (c *call) queryLoads(ctx context.Context, exclude []*routing.Server) {
	if !c.svc.routingSet.QueriesLoad() || rand.Float64() >= c.svc.queryShare() {
		return
	}
	c.svc.queryDecisions.Add(1)
	var buffer [queryBufferSize]*routing.Server
	for round := range routing.RoundCount {
		timeout := localQueryTimeout
		if round == routing.RemoteRound {
			timeout = remoteQueryTimeout
		}
		c.svc.queryAll(ctx, c.svc.routingSet.LoadQueryTargets(c.g.now(), round, exclude, buffer[:0]), timeout)
	}
}

// queryShare returns the fraction of decisions that may be preceded by load
// queries within the setting measuring.questionsPerBackend.
func (s *service) queryShare() float64 {
	queriesPerDecision := float64(s.queriesSent.Load()) / float64(max(1, s.queryDecisions.Load()))
	// MeanLoad and MeanLatency tell the rate of requests that backend servers receive.
	// Decisions that end in a refusal come on top.
	queriesPerDecision *= s.admission.ArrivalsPerAdmission(s.now())
	return measure.LoadQueryShare(s.settings.Load().Measuring.LoadQueriesPerBackend, queriesPerDecision, s.routingSet.MeanLoad(), s.routingSet.MeanLatency())
}

// queryAll queries the load of the servers and waits until all have replied, the
// timeout has passed or ctx is done. A query already in progress for another
// request is shared. Replies that arrive later are still used by later decisions.
func (s *service) queryAll(ctx context.Context, servers []*routing.Server, timeout time.Duration) {
	if len(servers) == 0 {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var buffer [queryBufferSize]<-chan struct{}
	replies := buffer[:0]
	for _, server := range servers {
		replied, isNew := server.BeginQuery()
		if isNew {
			s.queriesSent.Add(1)
			s.background.Go(func() { s.queryLoad(server) })
		}
		replies = append(replies, replied)
	}
	for _, replied := range replies {
		select {
		case <-replied:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// queryLoad queries the load of one backend server.
func (s *service) queryLoad(server *routing.Server) {
	_, signals := s.sendInternalRequest(context.Background(), server, s.settings.Load().Paths.Load)
	server.EndQuery(s.now(), signals.HasReport)
	s.queryCounter.Inc(1)
}
