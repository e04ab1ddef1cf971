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
	"lentilpin/pkg/routing/server"
)

// Aliases for the types of package server that users of this package need.
type (
	Report         = server.Report
	RateLimit      = server.RateLimit
	Backend        = server.Backend
	Outcome        = server.Outcome
	Server         = server.Server
	LoadQueryRound = server.LoadQueryRound
)

// Outcomes of an attempt; see server.Outcome.
const (
	Success       = server.Success
	ErrorResponse = server.ErrorResponse
	Shed          = server.Shed
	Broken        = server.Broken
	Timeout       = server.Timeout
	Canceled      = server.Canceled
)

// Rounds of load queries before a decision; see server.LoadQueryRound.
const (
	LocalRound  = server.LocalRound
	RemoteRound = server.RemoteRound
	RoundCount  = server.RoundCount
)

// ErrUnknownPolicy is returned if the settings name a policy that does not exist.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Options are the parameters of a Set.
type Options struct {
	Service       string
	FailureDomain string // of this instance
	Seed          uint64 // seeds random draws and affinities; must differ between instances
	Settings      *dynamic.Service
	// OnPermitUsed is called when Pick has used the permit of a rate-limited backend
	// server. It must not block. nil: not called.
	OnPermitUsed func(*Server)
}

// Set holds the backend servers of one service as this instance sees them. All
// methods are safe for concurrent use.
type Set struct {
	options     Options
	stats       *server.ServiceStats
	randSources [randShards]randSource
	list        atomic.Pointer[server.List]
	settings    atomic.Pointer[activeSettings]
	pickCount   atomic.Uint64 // calls of Pick, counted only under a ProbeListener

	warmup atomic.Pointer[warmupLimit] // see LimitWarmups

	mu           sync.Mutex // serializes Update and Configure
	serversByKey atomic.Pointer[map[string]*Server]
	evacuated    atomic.Pointer[map[string]*Server] // evacuated backend servers, by key
}

// randShards is the number of random sources. A decision uses the first unlocked
// source. A single goroutine therefore always uses the same one, which makes a
// run with one goroutine reproducible for a seed.
const randShards = 16

type randSource struct {
	mu   sync.Mutex
	rand *rand.Rand
	_    [40]byte // padding against false sharing of a cache line
}

// NewSet returns a Set without backend servers. It returns ErrUnknownPolicy if
// o.Settings names a policy that does not exist.
func NewSet(o Options) (*Set, error) {
	s := &Set{options: o, stats: server.NewServiceStats(errorLatency(o.Settings))}
	for i := range s.randSources {
		s.randSources[i].rand = rand.New(rand.NewPCG(o.Seed, uint64(i)))
	}
	s.list.Store(server.NewList(nil, 0))
	s.warmup.Store(&warmupLimit{})
	s.serversByKey.Store(&map[string]*Server{})
	s.evacuated.Store(&map[string]*Server{})
	if err := s.Configure(o.Settings); err != nil {
		return nil, err
	}
	return s, nil
}

// Update replaces the list of backend servers. A backend server that is already
// known keeps its state unless its failure domain changes. Backend servers that
// are no longer listed get no new attempts; their attempts in flight continue. Evacuated
// ones get none either, and are kept aside with their state. Update returns those whose
// evacuation has ended: their weight is 0 until the calling code sets it.
func (s *Set) Update(now time.Duration, list []Backend) (returned []*Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[string]*Server{}
	limit := int32(s.settings.Load().settings.ConnectionsPerInstance())
	evacuated := s.evacuate(now, list, limit)
	servers := make([]*Server, 0, len(list))
	for _, b := range list {
		key := b.Key()
		if known[key] != nil || evacuated[key] != nil {
			continue
		}
		srv := s.keep(now, b, limit)
		if srv.IsEvacuated() {
			srv.SetWeight(0)
			srv.SetEvacuated(false)
			returned = append(returned, srv)
		}
		if b.WarmupRemaining > 0 {
			srv.SetCold(now, b.WarmupRemaining)
		}
		known[key] = srv
		servers = append(servers, srv)
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
	s.serversByKey.Store(&known)
	s.evacuated.Store(&evacuated)
	return returned
}

// newServer returns the state of a backend server that was not known before.
func (s *Set) newServer(now time.Duration, b Backend, key string, limit int32) *Server {
	srv := server.New(b, b.FailureDomain == s.options.FailureDomain, s.stats, limit)
	srv.SetAffinity(xxhash.Sum64String(key) * (s.options.Seed | 1))
	warmup := s.warmup.Load()
	srv.LimitWarmup(now, warmup.perSecond, warmup.longest)
	return srv
}

// maxPickTries is the number of decisions that Pick makes when other goroutines
// bring the selected backend servers to their limits before Pick counts the
// attempt.
const maxPickTries = 3

// Pick selects a backend server that is not in exclude and counts the attempt as
// in flight. It returns nil if no backend server has capacity.
func (s *Set) Pick(now time.Duration, exclude []*Server) *Server {
	return s.pick(now, exclude, 0)
}

func (s *Set) pick(now time.Duration, exclude []*Server, headroom float64) *Server {
	src := s.lockRandSource()
	defer src.mu.Unlock()
	l, st := s.list.Load(), s.settings.Load()
	if st.probeListener != nil {
		s.pickCount.Add(1)
	}
	for range maxPickTries {
		srv := st.policy.Choose(now, l, src.rand, exclude)
		if srv == nil || !st.leavesHeadroom(now, srv, headroom) {
			return nil
		}
		if s.begin(now, srv) {
			return srv
		}
	}
	if srv := l.Draw(src.rand, 0, l.Len(), exclude); srv != nil && st.leavesHeadroom(now, srv, headroom) && s.begin(now, srv) {
		return srv
	}
	return nil
}

// begin begins an attempt and reports the use of a permit.
func (s *Set) begin(now time.Duration, srv *Server) bool {
	isRateLimited := srv.IsRateLimited()
	if isRateLimited && srv.HasExpiredPermit(now) {
		srv.RevokePermit()
	}
	if !srv.BeginAttempt() {
		return false
	}
	if isRateLimited && s.options.OnPermitUsed != nil {
		s.options.OnPermitUsed(srv)
	}
	return true
}

// HasSpareCapacity reports whether the backend server that the policy would select
// has spare capacity for an optional attempt, such as a hedge. It returns false if
// the policy would select none or a cold one, whose permits are for other requests, and
// true if one is selected and the policy does not implement server.SpareCapacityChecker.
func (s *Set) HasSpareCapacity(now time.Duration, exclude []*Server) bool {
	src := s.lockRandSource()
	defer src.mu.Unlock()
	st := s.settings.Load()
	srv := st.policy.Choose(now, s.list.Load(), src.rand, exclude)
	if srv == nil || srv.IsWarmupLimited() {
		return false
	}
	return st.capacityChecker == nil || st.capacityChecker.HasSpareCapacity(now, srv)
}

// QueriesLoad reports whether the policy queries the load of candidates before it
// decides.
func (s *Set) QueriesLoad() bool { return s.settings.Load().querier != nil }

// MeanLoad returns the mean reported number of requests at a backend server.
func (s *Set) MeanLoad() float64 { return s.stats.MeanLoad() }

// MeanLatency returns the mean latency of successful attempts; 0 while there are
// too few samples.
func (s *Set) MeanLatency() time.Duration { return s.stats.MeanLatency() }

// LoadQueryTargets appends to out the backend servers that the policy wants to query
// for their load in the given round before it decides. It appends none if the policy
// does not implement server.LoadQuerier.
func (s *Set) LoadQueryTargets(now time.Duration, round LoadQueryRound, exclude, out []*Server) []*Server {
	st := s.settings.Load()
	if st.querier == nil {
		return out
	}
	src := s.lockRandSource()
	defer src.mu.Unlock()
	return st.querier.LoadQueryTargets(now, s.list.Load(), src.rand, round, exclude, out)
}

// lockRandSource returns a locked source: the first that is unlocked, else it
// waits for source 0.
func (s *Set) lockRandSource() *randSource {
	for i := range s.randSources {
		if s.randSources[i].mu.TryLock() {
			return &s.randSources[i]
		}
	}
	s.randSources[0].mu.Lock()
	return &s.randSources[0]
}

// Server returns the backend server with the given Server.Key, or nil.
func (s *Set) Server(key string) *Server { return (*s.serversByKey.Load())[key] }

// Servers returns all backend servers, those of the own failure domain first.
// The slice must not be modified.
func (s *Set) Servers() []*Server { return s.list.Load().Servers() }

// Settings returns the settings in force.
func (s *Set) Settings() *dynamic.Service { return s.settings.Load().settings }

// ProbesPerRequest returns the number of probes that the policy wants for each
// request regardless of the age of reports; 0 for all policies except prequal.
func (s *Set) ProbesPerRequest() float64 {
	if l := s.settings.Load().probeListener; l != nil {
		return l.ProbesPerRequest()
	}
	return 0
}

// PickCount returns the number of calls of Pick made while the policy was a
// server.ProbeListener.
func (s *Set) PickCount() uint64 { return s.pickCount.Load() }

// RecordProbeReply records the load report in the reply to a probe of srv.
func (s *Set) RecordProbeReply(now time.Duration, srv *Server, r Report) {
	srv.RecordReport(now, r, 0)
	if l := s.settings.Load().probeListener; l != nil {
		l.RecordProbeReply(now, srv, r)
	}
}
