package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/quarantine"
	"lentilpin/pkg/retry"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/routing/subset"
	"lentilpin/pkg/transport"
)

// service is the state of one service. It outlasts settings versions.
type service struct {
	name       string
	ordinal    int
	now        func() time.Duration
	settings   atomic.Pointer[dynamic.Service]
	set        *routing.Set
	pool       *transport.Pool
	outliers   *outlier.Detector
	quarantine *quarantine.List
	queue      *limit.Queue
	retries    *retry.Budget
	hedgeDelay *retry.HedgeDelay
	budgets    *measure.Budgets
	prober     *measure.Prober

	notify     func()
	nextHealth time.Duration // used by the loop only
	lastUse    atomic.Int64  // time of the last attempt

	limitsMu sync.Mutex
	limits   map[*routing.Server]*limit.Concurrency

	background *tracker
	decisions  atomic.Uint64 // before which loads were asked for
	questions  atomic.Uint64 // that were asked for them

	hedges  tally.Counter
	retried tally.Counter
	asked   tally.Counter
	latency tally.Histogram // of requests that were answered
	gauges  gauges
}

// serviceRecorder adds the name of the service to the events of packages that
// do not know it.
type serviceRecorder struct {
	rec     events.Recorder
	service string
}

// Record implements events.Recorder.
func (r serviceRecorder) Record(e *events.Event, fields ...events.Field) {
	r.rec.Record(e, append([]events.Field{events.F("service", r.service)}, fields...)...)
}

func newService(g *Gateway, name string, seed uint64, settings *dynamic.Service) (*service, error) {
	set, err := routing.NewSet(routing.Options{Service: name, FailureDomain: g.o.FailureDomain, Seed: seed, Settings: settings})
	if err != nil {
		return nil, err
	}
	rec := serviceRecorder{g.o.Recorder, name}
	budgets := measure.NewBudgets(g.now(), settings, g.o.Ordinal)
	scope := g.o.Scope.Tagged(map[string]string{"service": name})
	s := &service{
		name:       name,
		ordinal:    g.o.Ordinal,
		now:        g.now,
		set:        set,
		outliers:   outlier.New(settings, rec),
		quarantine: quarantine.New(settings, rec),
		queue:      limit.NewQueue(settings.Queue.MaxRequests, dynamic.MS(settings.Queue.MaxWaitMS)),
		retries:    retry.NewBudget(settings.Retry),
		hedgeDelay: retry.NewHedgeDelay(settings.Retry.HedgePercentile),
		limits:     map[*routing.Server]*limit.Concurrency{},
		notify:     g.o.Notify,
		budgets:    budgets,
		prober:     measure.NewProber(set, budgets, seed),
		hedges:     scope.Counter("hedges"),
		retried:    scope.Counter("retries"),
		asked:      scope.Counter("load_questions"),
		latency:    scope.Histogram("request_latency", latencyBuckets),
		gauges:     newGauges(scope),
		background: &g.background,
	}
	s.settings.Store(settings)
	s.lastUse.Store(-int64(idleAfter) - 1)
	s.pool = transport.NewPool(transport.Options{Settings: s.settings.Load, Recorder: rec, Dial: g.o.dial})
	return s, nil
}

// configure puts new settings in force.
func (s *service) configure(settings *dynamic.Service) error {
	s.settings.Store(settings)
	s.outliers.Configure(settings)
	s.quarantine.Configure(settings)
	s.queue.Configure(settings.Queue.MaxRequests, dynamic.MS(settings.Queue.MaxWaitMS))
	s.budgets.Configure(settings)
	s.hedgeDelay.Configure(settings.Retry.HedgePercentile)
	s.retries.Configure(settings.Retry)
	s.limitsMu.Lock()
	for server, c := range s.limits {
		c.SetMax(int32(settings.PerInstance()))
		server.SetLimit(c.Limit())
	}
	s.limitsMu.Unlock()
	return s.set.Configure(settings)
}

// update takes the backend servers of the instance list. live are those that
// may get work, leaving are those that the list says are leaving.
func (s *service) update(live []routing.Backend, leaving []string) {
	now := s.now()
	conf := s.settings.Load()
	live = subset.Select(live, s.ordinal, conf.InstanceCeiling, conf.Connections.PerBackend)
	s.set.Update(now, live)
	addresses := make([]string, len(live))
	for i, b := range live {
		addresses[i] = b.Key()
	}
	s.outliers.Update(now, addresses)
	for _, a := range leaving {
		s.outliers.Drain(now, a, "list")
	}
	s.forgetLimits()
	s.sweep()
}

// observe takes the signals of a response.
func (s *service) observe(server *routing.Server, sig transport.Signals) {
	if sig.HasReport {
		server.Observe(s.now(), sig.Report, 0)
	}
	if sig.Draining {
		s.outliers.Drain(s.now(), server.Key(), "response")
		s.sweep()
	}
}

// finish ends an attempt: capacity, limit, outliers, and one waiter of the
// queue that may now find capacity.
func (s *service) finish(server *routing.Server, latency time.Duration, o routing.Outcome) {
	now := s.now()
	s.lastUse.Store(int64(now))
	server.End(now, latency, o)
	if o != routing.Canceled {
		s.outliers.Record(now, server.Key(), latency, o)
		if s.settings.Load().Queue.AdaptiveLimit {
			server.SetLimit(s.concurrency(server).Record(latency, o))
		}
	}
	s.queue.Wake()
}

func (s *service) concurrency(server *routing.Server) *limit.Concurrency {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	c := s.limits[server]
	if c == nil {
		c = limit.NewConcurrency(int32(s.settings.Load().PerInstance()))
		s.limits[server] = c
	}
	return c
}

func (s *service) isIdle() bool {
	return s.now()-time.Duration(s.lastUse.Load()) > idleAfter
}

// forgetLimits drops the limits of backend servers that have left the list;
// thousands are replaced every day.
func (s *service) forgetLimits() {
	s.limitsMu.Lock()
	defer s.limitsMu.Unlock()
	for server := range s.limits {
		if s.set.Server(server.Key()) != server {
			delete(s.limits, server)
		}
	}
}

// sweep applies ejections, drains and slow starts to the routing weights.
func (s *service) sweep() {
	for _, change := range s.outliers.Sweep(s.now()) {
		server := s.set.Server(change.Address)
		if server == nil {
			continue
		}
		server.SetWeight(change.Weight)
		if change.Weight == 0 {
			s.pool.Retire(server.Address())
		}
		if change.To == outlier.Draining {
			s.notify()
		}
	}
	s.queue.Wake()
}
