package routing

import (
	"lentilpin/pkg/routing/server"
)

// RateLimited returns the backend servers that state a rate limit.
func (s *Set) RateLimited() (out []*Server) {
	for _, srv := range s.Servers() {
		if srv.StatesRateLimit() {
			out = append(out, srv)
		}
	}
	return out
}

// permitLocalCount and permitRemoteCount are the numbers of backend servers of the
// own and of other failure domains for which an instance obtains permits. They bound
// the number of instances that share the rate limit of one backend server in a large
// fleet.
const (
	permitLocalCount  = 8
	permitRemoteCount = 4
)

// PermitCandidates returns the rate-limited backend servers for which this instance
// should obtain permits: those among the ones of lowest affinity. Cold ones of other
// failure domains are left out while another backend server needs no permit: a cold one
// is soon warm, and each of its permits costs a call to its failure domain.
func (s *Set) PermitCandidates() (out []*Server) {
	l := s.list.Load()
	appendLimited := func(servers []*Server, withCold bool) {
		for _, srv := range servers {
			if srv.IsRateLimited() && srv.Weight() > 0 && (withCold || !srv.IsWarmupLimited()) {
				out = append(out, srv)
			}
		}
	}
	local, remote := l.Servers()[:l.Local()], l.Servers()[l.Local():]
	appendLimited(local[:min(permitLocalCount, len(local))], true)
	appendLimited(remote[:min(permitRemoteCount, len(remote))], len(local) == 0 || s.NeedsPermit(nil))
	return out
}

// NeedsPermit reports whether each backend server that is not in exclude is ejected,
// draining, or rate-limited without a permit, and at least one lacks a permit.
func (s *Set) NeedsPermit(exclude []*Server) (needed bool) {
	for _, srv := range s.Servers() {
		switch {
		case srv.Weight() == 0 || server.Contains(exclude, srv):
		case !srv.NeedsPermit():
			return false
		default:
			needed = true
		}
	}
	return needed
}
