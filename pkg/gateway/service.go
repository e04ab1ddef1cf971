package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/admission"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/ratelimit"
	"lentilpin/pkg/reach"
	"lentilpin/pkg/retry"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/routing/subset"
	"lentilpin/pkg/transport"
)

// service is the state of one service. It persists across settings versions.
type service struct {
	name         string
	ordinal      int
	now          func() time.Duration
	settings     atomic.Pointer[dynamic.Service]
	routingSet   *routing.Set
	pool         *transport.Pool
	outliers     *outlier.Detector
	quarantine   *quarantine.List
	queue        *limit.Queue
	admission    *admission.Controller
	rankStats    rankStats
	retryBudget  *retry.Budget
	hedgeDelay   *retry.HedgeDelay
	hedges       *hedges
	probeBudgets *measure.Budgets
	prober       *measure.Prober
	permits      *ratelimit.Holder
	backoffs     backoffs
	reach        *reach.Detector
	peers        *handoffPeers

	recorder        events.Recorder
	notifyPeers     func()
	isListCurrent   func() bool
	nextHealthCheck time.Duration // used by Gateway.Run only
	nextReachCheck  time.Duration // used by Gateway.Run only
	lastAttempt     atomic.Int64  // time of the last attempt

	concurrencyLimitsMu sync.Mutex
	concurrencyLimits   map[*routing.Server]*limit.Concurrency

	background     *taskTracker
	queryDecisions atomic.Uint64 // decisions before which load queries were allowed
	queriesSent    atomic.Uint64 // load queries sent before decisions

	retryCounter   tally.Counter
	attempts       attemptCounters
	queryCounter   tally.Counter
	handoffCounter tally.Counter
	requestLatency tally.Histogram // of answered requests
	gauges         gauges
}

// serviceRecorder adds the service name to the events of packages that do not
// know it.
type serviceRecorder struct {
	recorder events.Recorder
	service  string
}

// Record implements events.Recorder.
func (r serviceRecorder) Record(e *events.Event, fields ...events.Field) {
	r.recorder.Record(e, append([]events.Field{events.F("service", r.service)}, fields...)...)
}

func newService(g *Gateway, name string, seed uint64, settings *dynamic.Service) (*service, error) {
	var permits *ratelimit.Holder
	routingSet, err := routing.NewSet(routing.Options{
		Service: name, FailureDomain: g.options.FailureDomain, Seed: seed, Settings: settings,
		OnPermitUsed: func(server *routing.Server) { permits.Used(server) },
	})
	if err != nil {
		return nil, err
	}
	recorder := serviceRecorder{g.options.Recorder, name}
	probeBudgets := measure.NewBudgets(g.now(), settings, g.options.Ordinal)
	scope := g.options.Scope.Tagged(map[string]string{"service": name})
	s := &service{
		name:              name,
		ordinal:           g.options.Ordinal,
		now:               g.now,
		routingSet:        routingSet,
		outliers:          outlier.New(settings, recorder),
		quarantine:        quarantine.New(settings, recorder),
		queue:             limit.NewQueue(settings.Queue.MaxRequests, dynamic.MillisToDuration(settings.Queue.MaxWaitMS)),
		retryBudget:       retry.NewBudget(settings.Retry),
		admission:         admission.NewController(),
		rankStats:         rankStats{scope: scope},
		hedgeDelay:        retry.NewHedgeDelay(settings.Retry.HedgePercentile),
		concurrencyLimits: map[*routing.Server]*limit.Concurrency{},
		recorder:          recorder,
		notifyPeers:       g.options.NotifyPeers,
		isListCurrent:     func() bool { return g.options.IsListCurrent == nil || g.options.IsListCurrent() },
		probeBudgets:      probeBudgets,
		prober:            measure.NewProber(routingSet, probeBudgets, seed),
		retryCounter:      scope.Counter("retries"),
		attempts:          attemptCounters{scope.Counter("attempts_own_domain"), scope.Counter("attempts_other_domains")},
		queryCounter:      scope.Counter("load_questions"),
		handoffCounter:    scope.Counter("handed_on"),
		reach:             reach.NewDetector(),
		requestLatency:    scope.Histogram("request_latency", latencyBuckets),
		gauges:            newGauges(scope),
		background:        &g.background,
	}
	used, expired := scope.Counter("permits_used"), scope.Counter("permits_expired")
	permits = ratelimit.NewHolder(ratelimit.HolderOptions{
		Source: g.options.Permits, Now: g.now, Go: g.background.Go, Wake: s.queue.Wake,
		Ended: func(wasUnused bool) {
			if wasUnused {
				expired.Inc(1)
			} else {
				used.Inc(1)
			}
		},
	})
	s.permits = permits
	s.configureWarmup(settings)
	s.hedges = newHedges(scope, s.retryBudget, &g.fleetHedges)
	s.settings.Store(settings)
	s.lastAttempt.Store(-int64(serviceIdleTimeout) - 1)
	s.peers = newHandoffPeers(s, &g.options)
	s.pool = transport.NewPool(transport.Options{Settings: s.settings.Load, Recorder: recorder, Dial: g.options.dial})
	return s, nil
}

// configure applies new settings. If the routing policy is unknown, it returns
// routing.ErrUnknownPolicy and the previous routing settings stay in force.
func (s *service) configure(settings *dynamic.Service) error {
	s.settings.Store(settings)
	s.outliers.Configure(settings)
	s.quarantine.Configure(settings)
	s.queue.Configure(settings.Queue.MaxRequests, dynamic.MillisToDuration(settings.Queue.MaxWaitMS))
	s.probeBudgets.Configure(settings)
	s.hedgeDelay.Configure(settings.Retry.HedgePercentile)
	s.retryBudget.Configure(settings.Retry)
	s.concurrencyLimitsMu.Lock()
	for server, c := range s.concurrencyLimits {
		c.SetMax(int32(settings.ConnectionsPerInstance()))
		server.SetLimit(c.Limit())
	}
	s.concurrencyLimitsMu.Unlock()
	s.configureWarmup(settings)
	return s.routingSet.Configure(settings)
}

// updateBackends replaces the backend servers by the subset of live that this
// instance uses. The evacuated ones are not used and not counted. leaving holds the keys of the backend servers that the instance
// list marks as leaving; live includes those without an ID.
func (s *service) updateBackends(live, evacuated []routing.Backend, leaving []string) {
	now := s.now()
	conf := s.settings.Load()
	selectUsed := func(list []routing.Backend) []routing.Backend {
		return subset.Select(list, s.ordinal, conf.InstanceCeiling, conf.Connections.PerBackend)
	}
	if len(evacuated) > 0 {
		// Those that this instance would use without the evacuation.
		evacuated = slices.DeleteFunc(slices.Clone(selectUsed(slices.Concat(live, evacuated))), func(b routing.Backend) bool { return !b.IsEvacuated })
	}
	live = selectUsed(live)
	returned := s.routingSet.Update(now, slices.Concat(live, evacuated))
	keys := make([]string, len(live))
	for i, b := range live {
		keys[i] = b.Key()
	}
	s.outliers.Update(now, keys)
	for _, a := range leaving {
		s.outliers.MarkDraining(now, a, "list")
	}
	s.takeBack(now, returned, len(live)-len(returned))
	s.withdrawEvacuated()
	s.pruneConcurrencyLimits()
	s.updateWeights()
	s.requestWarmupPermits()
}

// Sources of signals, as events name them.
const (
	sourceResponse  = "response"
	sourceLoadQuery = "load_query" // also of probes and health checks
)

// observeSignals records the load report, the rate limit, the remaining warm-up, the
// backoff and the drain signal of a response.
func (s *service) observeSignals(server *routing.Server, sig transport.Signals, source string) {
	if sig.HasReport && !server.IsEvacuated() {
		server.RecordReport(s.now(), sig.Report, 0)
	}
	if !sig.Misdirected && server.SetRateLimit(s.now(), sig.RateLimit) {
		s.permits.Request(s.routingSet.PermitCandidates(), false)
		s.queue.Wake()
		s.recorder.Record(eventRateLimitChanged, events.F("backend", server.Key()), events.F("source", source),
			events.F("limited", sig.RateLimit.Stated), events.F("per_second", sig.RateLimit.PerSecond))
	}
	if sig.HasWarmupLeft {
		s.observeWarmup(server, sig.WarmupLeft, source)
	}
	if sig.RetryAfter > 0 {
		s.backOff(server, sig.RetryAfter)
	}
	if sig.Draining {
		s.outliers.MarkDraining(s.now(), server.Key(), "response")
		s.updateWeights()
	}
}

// mayStart reports whether a request that was assigned to a backend server may be sent
// now: the server is still listed and not evacuated, and has neither begun to leave,
// refused another request for some time nor turned cold meanwhile.
func (s *service) mayStart(server *routing.Server, assignedAt time.Duration) bool {
	s.waitForCurrentList()
	return !server.HasTurnedCold(assignedAt) && s.routingSet.Server(server.Key()) == server && !server.IsBackingOff() && !s.outliers.IsDraining(s.now(), server.Key())
}

// finishAttempt releases the capacity of an attempt, updates the concurrency
// limit and the outlier detector, and wakes a queued request that may now find
// capacity.
func (s *service) finishAttempt(server *routing.Server, latency time.Duration, o routing.Outcome) {
	now := s.now()
	s.lastAttempt.Store(int64(now))
	s.attempts.add(server.Local())
	server.EndAttempt(now, latency, o)
	if o != routing.Canceled {
		s.outliers.Record(now, server.Key(), latency, o)
		if s.settings.Load().Queue.AdaptiveLimit {
			server.SetLimit(s.concurrencyLimit(server).Record(latency, o))
		}
	}
	s.queue.Wake()
}

func (s *service) concurrencyLimit(server *routing.Server) *limit.Concurrency {
	s.concurrencyLimitsMu.Lock()
	defer s.concurrencyLimitsMu.Unlock()
	c := s.concurrencyLimits[server]
	if c == nil {
		c = limit.NewConcurrency(int32(s.settings.Load().ConnectionsPerInstance()))
		s.concurrencyLimits[server] = c
	}
	return c
}

// close closes the connections to backend servers and peers.
func (s *service) close() {
	s.pool.Close()
	s.peers.pool.Close()
}

func (s *service) isIdle() bool {
	return s.now()-time.Duration(s.lastAttempt.Load()) > serviceIdleTimeout
}

// pruneConcurrencyLimits deletes the limits of backend servers that are no
// longer listed. Thousands of backend servers are replaced each day.
func (s *service) pruneConcurrencyLimits() {
	evacuated := s.routingSet.Evacuated()
	s.concurrencyLimitsMu.Lock()
	defer s.concurrencyLimitsMu.Unlock()
	for server := range s.concurrencyLimits {
		if s.routingSet.Server(server.Key()) != server && !slices.Contains(evacuated, server) {
			delete(s.concurrencyLimits, server)
		}
	}
}

// updateWeights applies ejections, drains, slow starts and the ends of backoffs and
// warm-ups to the routing weights. It also closes the idle connections of backend servers that get no
// requests, and notifies the peers of new drains.
func (s *service) updateWeights() {
	s.endBackoffs()
	s.routingSet.EndWarmups(s.now())
	for _, change := range s.outliers.Sweep(s.now()) {
		server := s.routingSet.Server(change.Address)
		if server == nil {
			continue
		}
		server.SetWeight(change.Weight)
		if change.Weight == 0 {
			s.pool.CloseIdle(server.Address())
		}
		if change.To == outlier.StateDraining {
			s.notifyPeers()
		}
	}
	s.queue.Wake()
}
