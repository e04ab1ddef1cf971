package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Types of package server that callers of this package use.
type (
	Report  = server.Report
	Backend = server.Backend
	Outcome = server.Outcome
	Server  = server.Server
	Round   = server.Round
)

// Outcomes of an attempt.
const (
	Success       = server.Success
	ErrorResponse = server.ErrorResponse
	Shed          = server.Shed
	Broken        = server.Broken
	Timeout       = server.Timeout
	Canceled      = server.Canceled
)

// Rounds of questions before a decision.
const (
	Near   = server.Near
	Far    = server.Far
	Rounds = server.Rounds
)

// ErrUnknownPolicy says that the settings name a policy that does not exist.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Options are the parameters of a Set.
type Options struct {
	Service       string
	FailureDomain string // of this instance
	Seed          uint64 // of the random draws; instances must differ
	Settings      *dynamic.Service
}

// Set is the backend servers of one service as this instance sees them.
type Set struct {
	options  Options
	shared   *server.Shared
	sources  [shards]source
	list     atomic.Pointer[server.List]
	settings atomic.Pointer[state]
	requests atomic.Uint64 // counted only for a policy with probes per request

	mu    sync.Mutex // serialises Update and Configure
	byKey atomic.Pointer[map[string]*Server]
}

// state is what Configure replaces as a whole.
type state struct {
	settings *dynamic.Service
	name     string
	policy   server.Policy
	listener server.ProbeListener // nil: the policy keeps no replies
	asker    server.Asker         // nil: the policy decides without asking
	rooms    server.RoomJudge     // nil: the policy cannot tell
}

// shards is the number of random sources. A decision takes the first one that
// is free, so a single goroutine always uses the same source and a run with one
// goroutine repeats for a seed.
const shards = 16

type source struct {
	mu   sync.Mutex
	rand *rand.Rand
	_    [40]byte // keeps two sources off one cache line
}

// NewSet returns an empty set. The error is ErrUnknownPolicy.
func NewSet(o Options) (*Set, error) {
	s := &Set{options: o, shared: server.NewShared(errorLatency(o.Settings))}
	for i := range s.sources {
		s.sources[i].rand = rand.New(rand.NewPCG(o.Seed, uint64(i)))
	}
	s.list.Store(server.NewList(nil, 0))
	s.byKey.Store(&map[string]*Server{})
	if err := s.Configure(o.Settings); err != nil {
		return nil, err
	}
	return s, nil
}

// errorLatency is the least latency with which a failed attempt counts: a
// quarter of the attempt timeout is far above any healthy latency.
func errorLatency(settings *dynamic.Service) time.Duration {
	return dynamic.MS(settings.AttemptTimeoutMS) / 4
}

// Configure puts new settings in force. The policy keeps its state unless its
// name or its parameters change. The error is ErrUnknownPolicy; the settings
// in force then stay.
func (s *Set) Configure(settings *dynamic.Service) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.settings.Load()
	next := &state{settings: settings, name: settings.Routing.Policy}
	if old != nil && old.settings.Routing == settings.Routing {
		next.policy = old.policy
	} else {
		policy, err := s.newPolicy(settings)
		if err != nil {
			return err
		}
		next.policy = policy
	}
	next.listener, _ = next.policy.(server.ProbeListener)
	next.asker, _ = next.policy.(server.Asker)
	next.rooms, _ = next.policy.(server.RoomJudge)
	s.shared.SetErrorLatency(errorLatency(settings))
	s.settings.Store(next)
	if old != nil && old.settings.PerInstance() != settings.PerInstance() {
		for _, x := range s.Servers() {
			x.SetLimit(int32(settings.PerInstance()))
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
		}, s.shared), nil
	case "fresh":
		return fresh.New(fresh.Options{
			MaxProbes: r.MaxProbes, CrossDomainPenalty: r.CrossDomainPenaltyRatio,
			MaxAge: dynamic.MS(r.ReportMaxAgeMS),
		}, s.shared), nil
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

// Update takes the instance list. A backend server that stays keeps its state.
// Backend servers that are absent get no new work; their attempts go on.
func (s *Set) Update(now time.Duration, list []Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := *s.byKey.Load(), map[string]*Server{}
	limit := int32(s.settings.Load().settings.PerInstance())
	servers := make([]*Server, 0, len(list))
	for _, b := range list {
		key := b.Key()
		if known[key] != nil {
			continue
		}
		x := old[key]
		if x == nil || x.FailureDomain() != b.FailureDomain {
			x = server.New(b, b.FailureDomain == s.options.FailureDomain, s.shared, limit)
			x.SetAffinity(xxhash.Sum64String(key) * (s.options.Seed | 1))
		}
		if b.ColdFor > 0 {
			x.SetCold(now, b.ColdFor)
		}
		known[key] = x
		servers = append(servers, x)
	}
	slices.SortFunc(servers, func(a, b *Server) int {
		if a.Local() != b.Local() {
			if a.Local() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Affinity(), b.Affinity())
	})
	local := 0
	for local < len(servers) && servers[local].Local() {
		local++
	}
	s.list.Store(server.NewList(servers, local))
	s.byKey.Store(&known)
}

// attempts is how often a decision is repeated when another goroutine takes
// the last place of the selected backend server in between.
const attempts = 3

// Pick selects a backend server that is not in exclude and counts the attempt
// in flight. Nil: none has capacity.
func (s *Set) Pick(now time.Duration, exclude []*Server) *Server {
	src := s.lockSource()
	defer src.mu.Unlock()
	l, st := s.list.Load(), s.settings.Load()
	if st.listener != nil {
		s.requests.Add(1)
	}
	for range attempts {
		x := st.policy.Choose(now, l, src.rand, exclude)
		if x == nil {
			return nil
		}
		if x.Begin() {
			return x
		}
	}
	if x := l.Draw(src.rand, 0, l.Len(), exclude); x != nil && x.Begin() {
		return x
	}
	return nil
}

// HasRoom reports whether the backend server that Pick would select has room for
// an attempt that is not needed, such as a hedge. Policies that cannot tell say
// yes.
func (s *Set) HasRoom(now time.Duration, exclude []*Server) bool {
	src := s.lockSource()
	defer src.mu.Unlock()
	st := s.settings.Load()
	x := st.policy.Choose(now, s.list.Load(), src.rand, exclude)
	if x == nil {
		return false
	}
	return st.rooms == nil || st.rooms.HasRoom(now, x)
}

// Asks reports whether the policy wants the load of candidates before it decides.
func (s *Set) Asks() bool { return s.settings.Load().asker != nil }

// MeanLoad returns the mean of the requests at a backend server as reported.
func (s *Set) MeanLoad() float64 { return s.shared.MeanLoad() }

// MeanLatency returns the mean latency of successful attempts.
func (s *Set) MeanLatency() time.Duration { return s.shared.MeanLatency() }

// Ask appends to out the backend servers that the policy wants to ask for their
// load in a round before it decides. A policy that decides without asking wants
// none.
func (s *Set) Ask(now time.Duration, round Round, exclude, out []*Server) []*Server {
	st := s.settings.Load()
	if st.asker == nil {
		return out
	}
	src := s.lockSource()
	defer src.mu.Unlock()
	return st.asker.Ask(now, s.list.Load(), src.rand, round, exclude, out)
}

func (s *Set) lockSource() *source {
	for i := range s.sources {
		if s.sources[i].mu.TryLock() {
			return &s.sources[i]
		}
	}
	s.sources[0].mu.Lock()
	return &s.sources[0]
}

// Server returns the backend server with this key, or nil.
func (s *Set) Server(key string) *Server { return (*s.byKey.Load())[key] }

// Servers returns all backend servers, those of the own failure domain first.
// The slice must not be changed.
func (s *Set) Servers() []*Server { return s.list.Load().Servers() }

// Settings returns the settings in force.
func (s *Set) Settings() *dynamic.Service { return s.settings.Load().settings }

// ProbesPerRequest returns the probes that the policy wants for each request
// regardless of the age of reports; 0 for all policies but prequal.
func (s *Set) ProbesPerRequest() float64 {
	if l := s.settings.Load().listener; l != nil {
		return l.ProbesPerRequest()
	}
	return 0
}

// Requests returns the calls of Pick under a policy with probes per request.
func (s *Set) Requests() uint64 { return s.requests.Load() }

// Probed takes the load report in the reply to a probe.
func (s *Set) Probed(now time.Duration, x *Server, r Report) {
	x.Observe(now, r, 0)
	if l := s.settings.Load().listener; l != nil {
		l.Probed(now, x, r)
	}
}
