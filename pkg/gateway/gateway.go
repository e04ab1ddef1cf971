package gateway

import (
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
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/membership"
	"lentilpin/pkg/platform"
	"lentilpin/pkg/route"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/settings"
)

const (
	// defaultKeyLifetime is used where no service's settings apply.
	defaultKeyLifetime = 10 * time.Minute
	// settleTimeout bounds the report of a result to a key's owner.
	settleTimeout = 3 * time.Second
	// probeTimeout bounds one load probe.
	probeTimeout = 500 * time.Millisecond
	// tickInterval and roundTicks spread the periodic work: each tick visits
	// one part of the services, so that each is visited once in 100 ms.
	tickInterval = 10 * time.Millisecond
	roundTicks   = 10
	// idleAfter is how long after its last attempt a service counts as idle.
	// An idle service is not probed, because nobody uses the reports, and is
	// visited only in every idleRounds-th round.
	idleAfter  = time.Second
	idleRounds = 10
)

// Options are what a Gateway works with.
type Options struct {
	Instance      string
	Incarnation   uint64
	Region        string
	FailureDomain string
	Callers       dynamic.Callers // hold until the first settings tree is in force
	Ordinal       int
	Store         *settings.Store
	Owner         *ledger.Owner
	Claimant      *ledger.Claimant
	Log           *audit.Log
	Recorder      events.Recorder
	Scope         tally.Scope
	// OrdinalConflict reports whether another instance states the same
	// ordinal; no probes are sent while it does.
	OrdinalConflict func() bool
	// Instances returns how many instances are known, this one included.
	Instances func() int
	// Ready reports whether the settings may be served, and why not. It also
	// detects that the process was paused, so it is asked for every request.
	Ready func() (bool, string)

	// Notify tells the peers at once of a backend server that starts to drain
	// or of a request that was quarantined.
	Notify func()

	// dial replaces the connections to backend servers in tests.
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// Gateway serves callers.
type Gateway struct {
	o        Options
	owner    *ledger.Owner
	claimant *ledger.Claimant
	log      *audit.Log
	start    time.Time
	prefix   string
	sequence atomic.Uint64
	current  atomic.Pointer[snapshot]
	updateMu sync.Mutex // serialises changes of the snapshot
	list     []platform.Instance

	listed     atomic.Bool   // an instance list was read
	planned    atomic.Uint64 // requests that went as planned
	draining   atomic.Bool
	inFlight   atomic.Int64
	background tracker

	accepted tally.Counter
	outcomes sync.Map // outcomeKey -> tally.Counter
}

// New returns a gateway that follows the store's settings.
func New(o Options) *Gateway {
	g := &Gateway{
		o: o, owner: o.Owner, claimant: o.Claimant, log: o.Log,
		start:    time.Now(),
		prefix:   fmt.Sprintf("%s-%016x-", o.Instance, o.Incarnation),
		accepted: o.Scope.Counter("requests_accepted"),
	}
	g.current.Store(&snapshot{callers: newCallerRules(&o.Callers)})
	o.Store.Subscribe(g.adopt)
	return g
}

func (g *Gateway) now() time.Duration { return time.Since(g.start) }

func (g *Gateway) nextID() string {
	return fmt.Sprintf("%s%d", g.prefix, g.sequence.Add(1))
}

func (g *Gateway) service(name string) *service {
	return g.current.Load().byName[name]
}

// ready reports whether requests may be served. The settings store knows a
// version before the gateway has adopted it.
func (g *Gateway) ready(inForce *snapshot) (bool, string) {
	ok, reason := g.o.Ready()
	switch {
	case !inForce.adopted:
		return false, reasonNotReady
	case ok:
		return true, ""
	case reason == membership.ReasonUnconfirmed:
		return false, reasonUnconfirmed
	default:
		return false, reasonNotReady
	}
}

// adopt puts a new settings tree in force.
func (g *Gateway) adopt(tree *dynamic.Tree) {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	next := map[string]*service{}
	for _, name := range tree.Services(g.o.Region) {
		resolved := tree.Lookup(g.o.Region, name)
		if s := g.service(name); s != nil {
			next[name] = s
			g.reconfigure(s, &resolved.Service)
		} else if s = g.create(name, &resolved.Service); s != nil {
			next[name] = s
		}
	}
	old := g.current.Load()
	g.current.Store(newSnapshot(next, route.NewTable(old.routes, tree.Routes), tree))
	for _, s := range old.list {
		if next[s.name] == nil {
			s.pool.Close()
		}
	}
	g.applyList()
}

// reconfigure puts new settings of a service in force. Most versions change few
// services, so the others are left alone.
func (g *Gateway) reconfigure(s *service, settings *dynamic.Service) {
	if reflect.DeepEqual(s.settings.Load(), settings) {
		return
	}
	if err := s.configure(settings); err != nil {
		g.o.Recorder.Record(EventServiceRefused, events.F("service", s.name), events.F("error", err.Error()))
	}
}

func (g *Gateway) create(name string, settings *dynamic.Service) *service {
	// The seed differs between instances, so that they do not follow one
	// another to the same backend server.
	seed := xxhash.Sum64String(name) ^ g.o.Incarnation
	s, err := newService(g, name, seed, settings)
	if err != nil {
		g.o.Recorder.Record(EventServiceRefused, events.F("service", name), events.F("error", err.Error()))
		return nil
	}
	return s
}

// UpdateInstances takes the platform's instance list.
func (g *Gateway) UpdateInstances(list []platform.Instance) {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	g.list = list
	g.listed.Store(true)
	g.applyList()
}

func (g *Gateway) applyList() {
	live := map[string][]routing.Backend{}
	leaving := map[string][]string{}
	for _, i := range g.list {
		if i.Kind != platform.KindBackend {
			continue
		}
		b := routing.Backend{Address: i.Address, FailureDomain: i.FailureDomain, ID: i.ID, Start: i.Start, ColdFor: i.ColdFor}
		if i.State == platform.StateLeaving {
			leaving[i.Service] = append(leaving[i.Service], b.Key())
			if i.ID != "" {
				continue // its address and identity never come back to life together
			}
		}
		live[i.Service] = append(live[i.Service], b)
	}
	for _, s := range g.current.Load().list {
		s.update(live[s.name], leaving[s.name])
	}
}

// HasInstances reports whether an instance list was read and a settings tree
// adopted, without which there is no backend server to send work to.
func (g *Gateway) HasInstances() bool { return g.listed.Load() && g.current.Load().adopted }

// Drain makes the gateway ask callers to close their connections. New requests
// are still served, because the platform's balancer learns of the drain late.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Wait returns when the results of all requests are settled, or when the
// context ends.
func (g *Gateway) Wait(ctx context.Context) {
	g.background.wait(ctx)
}

// Close closes the connections to backend servers.
func (g *Gateway) Close() {
	for _, s := range g.current.Load().list {
		s.pool.Close()
	}
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.serve(w, r)
}

type outcomeKey struct {
	service, outcome, reason string
}

// count adds a request to the counter of its outcome, and to the latency of its
// service if it was answered. Only known services get a label of their own, so
// that callers cannot create metrics.
func (g *Gateway) count(s *service, res result, took time.Duration) {
	key := outcomeKey{service: "none", outcome: string(res.outcome), reason: res.reason}
	if s != nil {
		key.service = s.name
		if res.outcome == audit.Answered {
			s.latency.RecordDuration(took)
		}
	}
	counter, ok := g.outcomes.Load(key)
	if !ok {
		counter, _ = g.outcomes.LoadOrStore(key, g.o.Scope.Tagged(map[string]string{
			"service": key.service, "outcome": key.outcome, "reason": key.reason,
		}).Counter("requests_finished"))
	}
	if c, ok := counter.(tally.Counter); ok {
		c.Inc(1)
	}
}
