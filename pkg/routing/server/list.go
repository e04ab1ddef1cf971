package server

import (
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// maxDraws is the number of random draws before the bitmap is scanned. If half of
// the backend servers are unusable, one decision in 16 scans.
const maxDraws = 4

// bitmap is a set of list indexes that is safe for concurrent use.
type bitmap []atomic.Uint64

func (b bitmap) set(i int, on bool) {
	mask := uint64(1) << (i % 64)
	if on {
		b[i/64].Or(mask)
	} else {
		b[i/64].And(^mask)
	}
}

func (b bitmap) get(i int) bool { return b[i/64].Load()&(1<<(i%64)) != 0 }

// listPosition is the index of a backend server in the current List, with the
// bitmap of that list.
type listPosition struct {
	bits  bitmap
	index int
}

// Policy selects a backend server from a list. Choose returns nil if none is
// usable. It must not allocate and must be safe for concurrent use; no other
// goroutine uses r during the call.
type Policy interface {
	Choose(now time.Duration, l *List, r *rand.Rand, exclude []*Server) *Server
}

// ProbeListener is a Policy that stores probe replies itself.
type ProbeListener interface {
	// ProbesPerRequest returns the number of probes to send to random backend
	// servers for each request.
	ProbesPerRequest() float64
	// RecordProbeReply records the reply of s to a probe.
	RecordProbeReply(now time.Duration, s *Server, r Report)
}

// LoadQuerier is a Policy that queries the load of its candidates before it
// decides.
type LoadQuerier interface {
	// LoadQueryTargets appends to out the backend servers to query in the given
	// round. A round after the first appends some only if no reply so far is from a
	// backend server of low enough cost.
	LoadQueryTargets(now time.Duration, l *List, r *rand.Rand, round LoadQueryRound, exclude, out []*Server) []*Server
}

// SpareCapacityChecker is a Policy that can estimate the spare capacity of a
// backend server.
type SpareCapacityChecker interface {
	// HasSpareCapacity reports whether s can take one more request without slowing
	// down the requests that it already has.
	HasSpareCapacity(now time.Duration, s *Server) bool
}

// LoadQueryRound is one round of load queries before a decision.
type LoadQueryRound uint8

// Rounds of load queries, in the order in which they are sent.
const (
	LocalRound       LoadQueryRound = iota // some backend servers of the own failure domain
	SecondLocalRound                       // further backend servers of the own failure domain
	RemoteRound                            // backend servers of other failure domains
	RoundCount                             // number of rounds
)

// List is one immutable version of the list of backend servers of a service.
// Those of the own failure domain come first. Only the bitmap changes.
type List struct {
	servers []*Server
	local   int // number of backend servers in the own failure domain
	usable  bitmap
}

// NewList returns a list of servers, of which the first local ones are in the own
// failure domain. From then on, the servers update their bits in this list instead
// of the previous one.
func NewList(servers []*Server, local int) *List {
	l := &List{servers: servers, local: local, usable: make(bitmap, (len(servers)+63)/64)}
	for i, s := range servers {
		s.listPosition.Store(&listPosition{bits: l.usable, index: i})
		s.updateUsable()
	}
	return l
}

// Servers returns all backend servers. The slice must not be modified.
func (l *List) Servers() []*Server { return l.servers }

// Len returns the number of backend servers.
func (l *List) Len() int { return len(l.servers) }

// Local returns the number of backend servers in the own failure domain.
func (l *List) Local() int { return l.local }

// At returns the backend server at index i.
func (l *List) At(i int) *Server { return l.servers[i] }

// Usable reports whether the bitmap marks the backend server at index i as usable.
func (l *List) Usable(i int) bool { return l.usable.get(i) }

// Draw returns a random backend server of the indexes [from, to) that is usable
// and not in exclude, or nil if there is none. A drawn backend server of weight w
// is accepted with probability w; after maxDraws draws the weight is ignored.
func (l *List) Draw(r *rand.Rand, from, to int, exclude []*Server) *Server {
	if to <= from {
		return nil
	}
	for range maxDraws {
		i := from + r.IntN(to-from)
		s := l.servers[i]
		if !l.usable.get(i) || Contains(exclude, s) {
			continue
		}
		if w := s.Weight(); w < 1 && r.Float64() >= w {
			continue
		}
		return s
	}
	return l.NextUsable(from+r.IntN(to-from), from, to, exclude)
}

// NextUsable returns the first backend server at or after index i that is usable
// and not in exclude, wrapping around within [from, to), or nil if there is none.
func (l *List) NextUsable(i, from, to int, exclude []*Server) *Server {
	if s := l.firstUsable(i, to, exclude); s != nil {
		return s
	}
	return l.firstUsable(from, i, exclude)
}

// firstUsable returns the first backend server of the indexes [from, to) that is
// usable and not in exclude, or nil.
func (l *List) firstUsable(from, to int, exclude []*Server) *Server {
	for i := from; i < to; {
		word := l.usable[i/64].Load() >> (i % 64)
		if word == 0 {
			i = (i/64 + 1) * 64
			continue
		}
		i += bits.TrailingZeros64(word)
		if i >= to {
			return nil
		}
		if s := l.servers[i]; !Contains(exclude, s) && s.Usable() {
			return s
		}
		i++
	}
	return nil
}

// Contains reports whether s is in list. The search is linear because exclude
// lists hold at most one backend server for each attempt of a request.
func Contains(list []*Server, s *Server) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
