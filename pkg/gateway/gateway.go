package gateway

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/limit"
	"lentilpin/pkg/membership"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/ratelimit"
	"lentilpin/pkg/retry"
	"lentilpin/pkg/route"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/settings"
)

const (
	// defaultKeyLifetime is the lifetime of a key that is issued without the
	// settings of a service, and the maximum lifetime of keys issued at keysPath.
	defaultKeyLifetime = 10 * time.Minute
	// settleTimeout bounds the report of a result to the owner of the key.
	settleTimeout = 3 * time.Second
	// internalRequestTimeout bounds one load probe, load query or health check.
	internalRequestTimeout = 500 * time.Millisecond
	// tickInterval and ticksPerRound spread the periodic work: each tick
	// handles one part of the services, so that each service is handled once in
	// 100 ms.
	tickInterval  = 10 * time.Millisecond
	ticksPerRound = 10
	// serviceIdleTimeout is the time since the last attempt after which a service
	// counts as idle. An idle service is not probed, because no decision uses its
	// load reports, and is handled only in every roundsPerIdleVisit-th round.
	serviceIdleTimeout = time.Second
	roundsPerIdleVisit = 10
)

// Options are the parameters and dependencies of a Gateway.
type Options struct {
	Instance      string
	Incarnation   uint64
	Region        string
	FailureDomain string
	Callers       dynamic.Callers // used until the first settings tree is in force
	Ordinal       int
	Store         *settings.Store
	Owner         *ledger.Owner
	Claimant      *ledger.Claimant
	Log           *audit.Log
	Recorder      events.Recorder
	Scope         tally.Scope
	// OrdinalConflict reports whether another instance uses the same ordinal.
	// No probes are sent while it returns true.
	OrdinalConflict func() bool
	// Instances returns the number of known instances, this one included.
	Instances func() int
	// Ready reports whether requests may be served with the current settings,
	// and the reason if not. It also detects that the process was paused and is
	// therefore called for every request.
	Ready func() (bool, string)

	// Limits holds the limits of what is held for callers; default static.Defaults.
	Limits static.Limits

	// Permits obtains the permits for requests to rate-limited backend servers.
	Permits ratelimit.Source
	// Trials grants the trials of quarantined requests; nil: this instance decides alone.
	Trials TrialSource

	// Peers knows the peers that accept requests; nil: requests are not handed on.
	// PeerSecret is the shared secret of all instances.
	Peers      PeerDirectory
	PeerSecret string

	// NotifyPeers makes the exchange with the peers run immediately. It is called
	// when a backend server starts to drain or a request is quarantined.
	NotifyPeers func()

	// IsListCurrent reports whether the evacuations of the instance list are up to date. It
	// returns false after a pause of the process until they have been read. nil: they are.
	IsListCurrent func() bool

	// dial and dialPeer replace net.Dialer for connections to backend servers and to
	// peers in tests.
	dial, dialPeer func(ctx context.Context, address string) (net.Conn, error)
}

// Gateway is the http.Handler for callers.
type Gateway struct {
	options         Options
	owner           *ledger.Owner
	claimant        *ledger.Claimant
	auditLog        *audit.Log
	start           time.Time
	requestIDPrefix string
	requestSequence atomic.Uint64
	current         atomic.Pointer[snapshot]
	updateMu        sync.Mutex                     // serializes replacements of the snapshot
	list            []platform.Instance            // latest instance list, guarded by updateMu
	evacuated       atomic.Pointer[map[string]int] // number of backend servers by evacuated failure domain; nil: none yet
	evacuatedGauge  tally.Gauge

	hasList      atomic.Bool   // an instance list was received
	normal       atomic.Uint64 // requests that completed normally
	drain        drainState
	wasReady     atomic.Bool  // since the start
	callerMemory *limit.Total // of connections and bodies; nil: no limit
	bodyMemory   *limit.Memory
	limits       *callerLimits
	fleetHedges  retry.HedgeBudget // over all services
	inFlight     atomic.Int64
	background   taskTracker

	accepted        tally.Counter
	outcomeCounters sync.Map // outcomeKey -> tally.Counter
}

// New returns a gateway that applies each settings tree that options.Store
// adopts.
func New(options Options) *Gateway {
	limits := cmp.Or(options.Limits, static.Defaults().Limits)
	var callerMemory *limit.Total
	if limits.CallerMemoryBytes > 0 {
		callerMemory = limit.NewTotal(int64(limits.CallerMemoryBytes))
	}
	g := &Gateway{
		options: options, owner: options.Owner, claimant: options.Claimant, auditLog: options.Log,
		start:           time.Now(),
		drain:           newDrainState(),
		requestIDPrefix: fmt.Sprintf("%s-%016x-", options.Instance, options.Incarnation),
		accepted:        options.Scope.Counter("requests_accepted"),
		evacuatedGauge:  options.Scope.Gauge("failure_domains_evacuated"),
		callerMemory:    callerMemory,
		bodyMemory:      limit.NewMemory(int64(limits.BodyMemoryBytes), callerMemory),
		limits:          newCallerLimits(options.Scope, limits),
	}
	g.limits.reports.watch(eventBodyLimit, "bodies_gave_way", g.bodyMemory.GaveWay)
	g.current.Store(&snapshot{callers: newCallerConfig(&options.Callers)})
	options.Store.Subscribe(g.applySettings)
	return g
}

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func (g *Gateway) nextRequestID() string {
	return fmt.Sprintf("%s%d", g.requestIDPrefix, g.requestSequence.Add(1))
}

func (g *Gateway) service(name string) *service {
	return g.current.Load().byName[name]
}

// readiness reports whether requests may be served, and the reason if not. The
// settings store can have adopted a version that the gateway has not applied yet.
func (g *Gateway) readiness(active *snapshot) (bool, string) {
	ok, reason := g.options.Ready()
	switch {
	case !active.hasSettings:
		return false, reasonNotReady
	case ok:
		return true, ""
	case reason == membership.ReasonUnconfirmed:
		return false, reasonUnconfirmed
	default:
		return false, reasonNotReady
	}
}

// applySettings applies a settings tree that the settings store has adopted: it
// configures the services and replaces the snapshot.
func (g *Gateway) applySettings(tree *dynamic.Tree) {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	next := map[string]*service{}
	for _, name := range tree.Services(g.options.Region) {
		resolved := tree.Lookup(g.options.Region, name)
		if s := g.service(name); s != nil {
			next[name] = s
			g.reconfigureService(s, &resolved.Service)
		} else if s = g.createService(name, &resolved.Service); s != nil {
			next[name] = s
		}
	}
	old := g.current.Load()
	var routes *route.Table
	if tree.StatesRoutes {
		routes = route.NewTable(old.routes, tree.Routes)
	}
	snapshot := newSnapshot(next, routes, tree)
	configureAdmission(next, tree)
	// A request that finds a new service without its backend servers would be refused.
	g.applyInstances(snapshot.list)
	g.current.Store(snapshot)
	for _, s := range old.list {
		if next[s.name] == nil {
			s.close()
		}
	}
}

// reconfigureService applies new settings to a service. Most versions change
// few services; unchanged services are skipped.
func (g *Gateway) reconfigureService(s *service, settings *dynamic.Service) {
	if reflect.DeepEqual(s.settings.Load(), settings) {
		return
	}
	if err := s.configure(settings); err != nil {
		g.options.Recorder.Record(EventServiceNotConfigured, events.F("service", s.name), events.F("error", err.Error()))
	}
}

func (g *Gateway) createService(name string, settings *dynamic.Service) *service {
	// Each instance uses a different seed, so that instances do not all select
	// the same backend server.
	seed := xxhash.Sum64String(name) ^ g.options.Incarnation
	s, err := newService(g, name, seed, settings)
	if err != nil {
		g.options.Recorder.Record(EventServiceNotConfigured, events.F("service", name), events.F("error", err.Error()))
		return nil
	}
	return s
}

// UpdateInstances applies a new instance list of the platform, with the evacuated failure
// domains.
func (g *Gateway) UpdateInstances(list []platform.Instance) {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	g.list = list
	g.applyInstances(g.current.Load().list)
	g.setEvacuated(evacuatedDomains(list))
	g.hasList.Store(true)
}

// applyInstances applies the latest instance list to services. g.updateMu must be held.
func (g *Gateway) applyInstances(services []*service) {
	evacuatedDomains := evacuatedDomains(g.list)
	live, evacuated := map[string][]routing.Backend{}, map[string][]routing.Backend{}
	leaving := map[string][]string{}
	for _, i := range g.list {
		if i.Kind != platform.KindBackend {
			continue
		}
		b := routing.Backend{Address: i.Address, FailureDomain: i.FailureDomain, ID: i.ID, Start: i.Start, WarmupRemaining: i.WarmupRemaining}
		if i.State == platform.StateLeaving {
			leaving[i.Service] = append(leaving[i.Service], b.Key())
			if i.ID != "" {
				continue // this combination of address and ID never becomes live again
			}
		}
		if _, b.IsEvacuated = evacuatedDomains[i.FailureDomain]; b.IsEvacuated {
			evacuated[i.Service] = append(evacuated[i.Service], b)
		} else {
			live[i.Service] = append(live[i.Service], b)
		}
	}
	for _, s := range services {
		s.updateBackends(live[s.name], evacuated[s.name], leaving[s.name])
	}
}

// IsInitialized reports whether an instance list was received and a settings
// tree was applied. Without both no backend server is known.
func (g *Gateway) IsInitialized() bool { return g.hasList.Load() && g.current.Load().hasSettings }

// Wait returns when all background work, such as the report of results to key
// owners, has ended or when ctx is done.
func (g *Gateway) Wait(ctx context.Context) {
	g.background.wait(ctx)
}

// Close closes the connections to backend servers and peers.
func (g *Gateway) Close() {
	for _, s := range g.current.Load().list {
		s.close()
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r) }

type outcomeKey struct {
	service, outcome, reason string
}

// countOutcome increments the counter of the request's outcome and, if it was
// answered, records the latency of its service. Only known services get a label
// value, so that callers cannot create metrics.
func (g *Gateway) countOutcome(s *service, res result, took time.Duration) {
	key := outcomeKey{service: "none", outcome: string(res.outcome), reason: res.reason}
	if s != nil {
		key.service = s.name
		if res.outcome == audit.OutcomeAnswered {
			s.requestLatency.RecordDuration(took)
		}
	}
	counter, ok := g.outcomeCounters.Load(key)
	if !ok {
		counter, _ = g.outcomeCounters.LoadOrStore(key, g.options.Scope.Tagged(map[string]string{
			"service": key.service, "outcome": key.outcome, "reason": key.reason,
		}).Counter("requests_finished"))
	}
	if c, ok := counter.(tally.Counter); ok {
		c.Inc(1)
	}
}
