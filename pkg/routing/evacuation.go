package routing

import (
	"cmp"
	"slices"
	"time"

	"lentilpin/pkg/routing/server"
)

// ReasonEvacuated says why an evacuated backend server gets no work.
const ReasonEvacuated = "its failure domain is evacuated by an operator"

// evacuate returns the states of the evacuated backend servers of a list, by key. s.mu must
// be held.
func (s *Set) evacuate(now time.Duration, list []Backend, limit int32) map[string]*Server {
	out := map[string]*Server{}
	for _, b := range list {
		if !b.IsEvacuated {
			continue
		}
		srv := s.keep(now, b, limit)
		if b.WarmupRemaining > 0 {
			srv.SetCold(now, b.WarmupRemaining)
		}
		srv.SetEvacuated(true)
		out[srv.Key()] = srv
	}
	return out
}

// keep returns the state of a backend server: the known one unless its failure domain has
// changed. s.mu must be held.
func (s *Set) keep(now time.Duration, b Backend, limit int32) *Server {
	key := b.Key()
	srv := (*s.serversByKey.Load())[key]
	if srv == nil {
		srv = (*s.evacuated.Load())[key]
	}
	if srv == nil || srv.FailureDomain() != b.FailureDomain {
		return s.newServer(now, b, key, limit)
	}
	return srv
}

// Evacuated returns the evacuated backend servers, sorted by key. They are in no list of
// candidates.
func (s *Set) Evacuated() []*Server {
	m := *s.evacuated.Load()
	if len(m) == 0 {
		return nil
	}
	out := make([]*server.Server, 0, len(m))
	for _, srv := range m {
		out = append(out, srv)
	}
	slices.SortFunc(out, func(a, b *Server) int { return cmp.Compare(a.Key(), b.Key()) })
	return out
}

// HasEvacuated reports whether a backend server is evacuated.
func (s *Set) HasEvacuated() bool { return len(*s.evacuated.Load()) > 0 }
