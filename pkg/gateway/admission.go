package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/admission"
	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/routing"
)

const (
	// waiterRetryInterval is the time after which a ranked waiter tries again although no
	// attempt of this instance has ended: most of the work that occupies a backend server
	// comes from other instances.
	waiterRetryInterval = 25 * time.Millisecond
	// loadRefreshInterval is the least time between two load queries of a waiter, and
	// maxLoadRefreshes how often one request makes them, so that waiters cannot use up the
	// budget for load queries.
	loadRefreshInterval = 50 * time.Millisecond
	maxLoadRefreshes    = 2
)

// rankedCall is the state of a request that is admitted by rank.
type rankedCall struct {
	*call
	rank        int
	priority    int
	target      time.Duration // target latency; 0: none
	lastRefresh time.Time
	refreshes   int
}

// routePriorities returns the priorities of the routes that lead to each service.
func routePriorities(routes []dynamic.Route) map[string][]int {
	out := map[string][]int{}
	for i := range routes {
		for _, s := range routes[i].Services {
			out[s.Service] = append(out[s.Service], routes[i].Priority)
		}
	}
	return out
}

// configureAdmission sets the ranks of all services to those of a settings tree.
func configureAdmission(services map[string]*service, tree *dynamic.Tree) {
	var priorities map[string][]int
	if tree.StatesRoutes {
		priorities = routePriorities(tree.Routes)
	}
	for name, s := range services {
		var ranks admission.Ranks
		settings := s.settings.Load().Admission
		if settings.ByPriority {
			ranks = admission.NewRanks(priorities[name])
		}
		s.admission.Configure(ranks, settings.HeadroomRatio)
	}
}

// ranked returns the state for an admission by rank. It returns false if the request is
// admitted as without ranks.
func (c *call) ranked() (rankedCall, bool) {
	out := rankedCall{call: c}
	switch {
	case c.handoff != nil && c.handoff.Priority != nil:
		out.priority, out.target = *c.handoff.Priority, dynamic.MillisToDuration(c.handoff.TargetLatencyMS)
	case c.route != nil:
		out.priority, out.target = c.route.Priority, dynamic.MillisToDuration(c.route.TargetLatencyMS)
	default:
		return rankedCall{}, false
	}
	var differ bool
	if out.rank, differ = c.svc.admission.Rank(out.priority); !differ {
		return rankedCall{}, false
	}
	return out, true
}

// admitRanked selects a backend server that is not in exclude and leaves the headroom of
// the request's rank. While there is none, the request waits among others by its rank, as
// long as a response is still useful to the caller.
func (c *rankedCall) admitRanked(ctx context.Context, exclude []*routing.Server) (server *routing.Server, refusal *result) {
	now := c.g.now()
	if len(exclude) == 0 {
		c.svc.admission.Arrived(now, c.rank)
	}
	timing := c.timing()
	wait := admission.NewWait(timing)
	c.lastRefresh = time.Now()
	start := c.lastRefresh
	var headroom float64
	err := c.svc.queue.AdmitRanked(ctx, limit.Ranked{
		Rank: c.svc.admission.QueueRank(now, c.rank), MaxWait: wait.Max, Hold: wait.Hold, Retry: waiterRetryInterval,
	}, func() bool {
		c.refreshLoads(ctx, exclude)
		now := c.g.now()
		headroom = c.svc.admission.Headroom(now, c.rank, c.svc.routingSet.MeanOccupancy())
		server = c.svc.routingSet.PickWithHeadroom(now, exclude, headroom)
		return server != nil
	})
	c.record.Admission = &audit.Admission{
		Priority: c.priority, Rank: c.rank, HeadroomRatio: headroom,
		Occupancy: c.svc.routingSet.MeanOccupancy(), WaitedMS: milliseconds(time.Since(start)),
	}
	if err == nil {
		if len(exclude) == 0 {
			c.svc.admission.Admitted(c.g.now(), c.rank)
		}
		c.svc.rankStats.count(c.rank, resultAdmitted)
		return server, nil
	}
	res := c.refusal(err, headroom, timing)
	if res.outcome != audit.OutcomeAborted {
		c.svc.rankStats.count(c.rank, res.reason)
	}
	return nil, &res
}

// timing returns what is left of the time of the request.
func (c *rankedCall) timing() admission.Timing {
	usual := c.svc.routingSet.MeanLatency()
	if c.route != nil {
		if baseline := c.route.BaselineLatency.Latency(); baseline > 0 {
			usual = baseline
		}
	}
	return admission.Timing{
		Target: c.target, Elapsed: time.Since(c.startTime), Left: time.Until(c.deadline), Service: usual,
		MinWait: dynamic.MillisToDuration(c.settings.Queue.MaxWaitMS), MaxShare: c.settings.Admission.MaxWaitRatio,
	}
}

// refreshLoads queries the load of a few candidates again while the request waits: their
// reports are too old to show that there is room.
func (c *rankedCall) refreshLoads(ctx context.Context, exclude []*routing.Server) {
	if !c.svc.routingSet.QueriesLoad() || c.refreshes >= maxLoadRefreshes || time.Since(c.lastRefresh) < loadRefreshInterval {
		return
	}
	c.refreshes++
	if c.svc.queryShare() >= 1 { // the budget is not used up by decisions
		c.svc.queryAll(ctx, c.svc.routingSet.LoadQueryTargets(c.g.now(), routing.LocalRound, exclude, nil), localQueryTimeout)
	}
	c.lastRefresh = time.Now()
}

// refusal returns the refusal of a request that was not admitted.
func (c *rankedCall) refusal(err error, headroom float64, timing admission.Timing) result {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return notRunResult(http.StatusGatewayTimeout, reasonDeadline, "the deadline passed in the queue")
	case errors.Is(err, context.Canceled):
		return result{outcome: audit.OutcomeAborted, run: audit.NotRun, reason: reasonCallerGone}
	}
	reason, detail := reasonOverloaded, "all backend servers are busy: "+err.Error()
	switch {
	case errors.Is(err, limit.ErrDisplaced):
		reason, detail = reasonDisplaced, "a more urgent request took the place in the queue"
	case headroom > 0:
		reason, detail = reasonOutranked, "the free capacity is left to more urgent requests: "+err.Error()
	}
	return c.spreadRetryAfter(notRunResult(http.StatusServiceUnavailable, reason, detail), timing)
}

// spreadRetryAfter returns res with a random Retry-After within the time in which the
// caller comes back.
func (c *rankedCall) spreadRetryAfter(res result, timing admission.Timing) result {
	expected, ok := c.svc.queue.ExpectedWait()
	if !ok {
		expected = timing.Service / 2 // a slot has half of its request left on average
	}
	timing.Elapsed = time.Since(c.startTime)
	res.sendRetryAfter, res.exactRetryAfter = true, true
	res.retryAfter = admission.RetryAfter(timing, expected, time.Until(c.callerDeadline()), rand.Float64())
	return res
}

// callerDeadline returns the time until which the caller waits: by its own statement,
// which may be later than the deadline of the request.
func (c *call) callerDeadline() time.Time {
	if c.statedTimeout > 0 {
		return c.startTime.Add(c.statedTimeout)
	}
	return c.deadline
}

// countRankRefusal counts a refusal that does not depend on the rank of the request, and
// returns it.
func (c *call) countRankRefusal(refusal *result) *result {
	if r, ok := c.ranked(); ok {
		c.svc.rankStats.count(r.rank, refusal.reason)
	}
	return refusal
}

// resultAdmitted is the label of an admitted request in metrics; refusals have their reason.
const resultAdmitted = "admitted"

// rankStats counts the decisions about the requests of a service by rank.
type rankStats struct {
	scope    tally.Scope
	counters sync.Map                          // rankResult -> tally.Counter
	refused  [admission.MaxRanks]atomic.Uint64 // since the start
	shedding [admission.MaxRanks]events.ExhaustionDetector
}

type rankResult struct {
	rank   int
	result string
}

func (s *rankStats) count(rank int, text string) {
	if text != resultAdmitted {
		s.refused[rank].Add(1)
	}
	key := rankResult{rank, text}
	counter, ok := s.counters.Load(key)
	if !ok {
		counter, _ = s.counters.LoadOrStore(key, s.scope.Tagged(map[string]string{"rank": strconv.Itoa(rank), "result": text}).Counter("admission_decisions"))
	}
	if c, ok := counter.(tally.Counter); ok {
		c.Inc(1)
	}
}

// report records by one event each when requests of a rank begin to be refused and when
// they are no longer refused. It must be called by one goroutine only.
func (s *rankStats) report(recorder events.Recorder, service string) {
	for rank := range s.refused {
		if count, changed := s.shedding[rank].Update(s.refused[rank].Load()); changed {
			events.RecordExhaustion(rankRecorder{recorder, rank}, eventRankShed, eventRankServed, service, count)
		}
	}
}

// rankRecorder adds the rank to events.
type rankRecorder struct {
	recorder events.Recorder
	rank     int
}

// Record implements events.Recorder.
func (r rankRecorder) Record(e *events.Event, fields ...events.Field) {
	r.recorder.Record(e, append(fields, events.F("rank", r.rank))...)
}
