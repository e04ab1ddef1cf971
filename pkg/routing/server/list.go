package server

import (
	"math/bits"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// draws is how many random backend servers are tried before the bitmap is
// scanned. With half of them unusable, one decision in 16 scans.
const draws = 4

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

type place struct {
	bits  bitmap
	index int
}

// Policy selects a backend server from a list. Choose must not allocate and
// must be safe for concurrent use; the random source belongs to the call.
type Policy interface {
	Choose(now time.Duration, l *List, r *rand.Rand, exclude []*Server) *Server
}

// ProbeListener is a Policy that keeps the replies to probes itself.
type ProbeListener interface {
	// ProbesPerRequest is the number of probes sent to random backend servers
	// for each request.
	ProbesPerRequest() float64
	// Probed takes the reply to a probe.
	Probed(now time.Duration, s *Server, r Report)
}

// Asker is a Policy that wants the load of its candidates before it decides.
type Asker interface {
	// Ask appends the backend servers to ask in a round. A round after the
	// first asks only where the replies so far promise too little.
	Ask(now time.Duration, l *List, r *rand.Rand, round Round, exclude, out []*Server) []*Server
}

// RoomJudge is a Policy that can tell whether a backend server takes one more
// request without slowing down those that it has.
type RoomJudge interface {
	HasRoom(now time.Duration, s *Server) bool
}

// Round is one of the questions before a decision.
type Round uint8

// Rounds in their order.
const (
	Near  Round = iota // some of the own failure domain
	Again              // others of the own failure domain
	Far                // those of other failure domains
	Rounds
)

// List is one version of the backend servers of a service. The backend
// servers of the own failure domain come first.
type List struct {
	servers []*Server
	local   int
	usable  bitmap
}

// NewList returns a list of servers, of which the first local are in the own
// failure domain, and makes it the list that their state is marked in.
func NewList(servers []*Server, local int) *List {
	l := &List{servers: servers, local: local, usable: make(bitmap, (len(servers)+63)/64)}
	for i, s := range servers {
		s.place.Store(&place{bits: l.usable, index: i})
		s.mark()
	}
	return l
}

// Servers returns all backend servers. The slice must not be changed.
func (l *List) Servers() []*Server { return l.servers }

// Len returns the number of backend servers.
func (l *List) Len() int { return len(l.servers) }

// Local returns the number of backend servers in the own failure domain.
func (l *List) Local() int { return l.local }

// At returns the backend server at index i.
func (l *List) At(i int) *Server { return l.servers[i] }

// Usable reports whether the backend server at index i may take an attempt.
func (l *List) Usable(i int) bool { return l.usable.get(i) }

// Draw returns a random backend server of the indexes [from, to) that may
// take an attempt and is not excluded, or nil. A backend server of weight w is
// kept with probability w as long as others are found.
func (l *List) Draw(r *rand.Rand, from, to int, exclude []*Server) *Server {
	if to <= from {
		return nil
	}
	for range draws {
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
	return l.Next(from+r.IntN(to-from), from, to, exclude)
}

// Next returns the first usable backend server at or after index i, going
// round within [from, to), or nil.
func (l *List) Next(i, from, to int, exclude []*Server) *Server {
	if s := l.scan(i, to, exclude); s != nil {
		return s
	}
	return l.scan(from, i, exclude)
}

func (l *List) scan(from, to int, exclude []*Server) *Server {
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

// Contains reports whether list has s. Exclude lists hold at most the attempts
// of one request.
func Contains(list []*Server, s *Server) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
