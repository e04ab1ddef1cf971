// Package prequal implements the asynchronous mode of Prequal as a baseline, after
// the published description: Wydrowski, Kleinberg, Rumble, Archer: "Load is not
// what you should balance: Introducing Prequal", NSDI 2024.
//
// For each request about three probes go to random backend servers. A reply
// states the requests in flight and a latency estimate, and enters a pool of 16.
// A selection classifies the replies in the pool as hot or cold by a quantile of
// recent requests in flight: among cold replies the lowest latency wins; if all
// are hot, the fewest requests in flight win. A reply is used a limited number of
// times and expires by age, and one reply per request is removed, alternately the
// oldest and the worst. Each use of a reply adds one to its requests in flight.
// With fewer than two replies the selection is random.
package prequal

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lentilpin/pkg/routing/server"
)

// Parameters of the evaluation in the paper.
const (
	poolSize       = 16
	probeRate      = 3.0         // probes per request
	removalRate    = 1.0         // removals per request
	delta          = 1.0         // net growth of the pool per request in the formula of the reuse bound
	maxReplyAge    = time.Second // older replies are removed
	hotQuantile    = 0.84        // 2^-0.25
	minOccupancy   = 2           // number of replies below which the selection is random
	quantileWindow = 128         // number of recent replies over which the quantile is computed
)

// probeReply is one reply in the pool. load is the reported requests in flight plus
// the uses of the reply.
type probeReply struct {
	server     *server.Server
	load       int32
	latency    time.Duration
	receivedAt time.Duration
	uses       int
}

// Policy selects from the pool of probe replies of one instance. It implements
// server.Policy and server.ProbeListener.
type Policy struct {
	mu              sync.Mutex
	pool            [poolSize]probeReply
	size            int
	recentLoads     [quantileWindow]int32
	sortedLoads     [quantileWindow]int32
	replyCount      int
	removeWorstNext bool
}

// New returns a policy with an empty pool.
func New() *Policy { return &Policy{} }

// ProbesPerRequest implements server.ProbeListener.
func (p *Policy) ProbesPerRequest() float64 { return probeRate }

// RecordProbeReply implements server.ProbeListener. If the pool is full, the new
// reply replaces the oldest one.
func (p *Policy) RecordProbeReply(now time.Duration, s *server.Server, r server.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentLoads[p.replyCount%quantileWindow] = r.Load()
	p.replyCount++
	if p.size == poolSize {
		p.remove(p.oldest())
	}
	p.pool[p.size] = probeReply{server: s, load: r.Load(), latency: r.Latency, receivedAt: now}
	p.size++
}

// Choose implements server.Policy.
func (p *Policy) Choose(now time.Duration, l *server.List, r *rand.Rand, exclude []*server.Server) *server.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropUnusable(now, r)
	if p.size < minOccupancy {
		return l.Draw(r, 0, l.Len(), exclude)
	}
	hotThreshold := p.hotThreshold()
	best := -1
	for i := range p.size {
		if x := &p.pool[i]; !x.server.Usable() || server.Contains(exclude, x.server) {
			continue
		}
		if best < 0 || p.isPreferable(i, best, hotThreshold) {
			best = i
		}
	}
	if best < 0 {
		return l.Draw(r, 0, l.Len(), exclude)
	}
	x := &p.pool[best]
	s := x.server
	x.load++
	x.uses++
	if x.uses >= p.reuseBound(l.Len(), r) {
		p.remove(best)
	}
	p.removeOldestOrWorst(hotThreshold)
	return s
}

// reuseBound returns the number of times that a reply may be used:
// max(1, (1+delta) / ((1-m/n)*probeRate - removalRate)) for a pool of m
// replies and n backend servers, rounded up or down at random with this value as
// the expectation. The divisor is not positive if m is close to or above n, as
// with a pool of 16 and 20 backend servers. A reply is then used once: with a
// bound of 16, all instances followed the same reply, and in package bench p99 at
// 50% load was 72 ms instead of 43 ms.
func (p *Policy) reuseBound(n int, r *rand.Rand) int {
	divisor := (1-float64(poolSize)/float64(n))*probeRate - removalRate
	if divisor <= 0 {
		return 1
	}
	bound := max(1, (1+delta)/divisor)
	whole := math.Floor(bound)
	if r.Float64() < bound-whole {
		whole++
	}
	return int(min(whole, poolSize))
}

// hotThreshold returns the requests in flight above which a reply is hot: the
// hotQuantile of the recent replies. A copy is sorted in a fixed array, so that a
// decision does not allocate.
func (p *Policy) hotThreshold() int32 {
	n := min(p.replyCount, quantileWindow)
	copy(p.sortedLoads[:n], p.recentLoads[:n])
	slices.Sort(p.sortedLoads[:n])
	return p.sortedLoads[int(hotQuantile*float64(n-1))]
}

// isPreferable reports whether reply a of the pool is preferable to reply b.
func (p *Policy) isPreferable(a, b int, hotThreshold int32) bool {
	x, y := &p.pool[a], &p.pool[b]
	hotX, hotY := x.load > hotThreshold, y.load > hotThreshold
	switch {
	case hotX != hotY:
		return !hotX
	case hotX:
		return x.load < y.load
	default:
		return x.latency < y.latency
	}
}

// dropUnusable removes replies that are too old. A reply of a backend server of
// weight w below 1 is kept with probability w.
func (p *Policy) dropUnusable(now time.Duration, r *rand.Rand) {
	for i := 0; i < p.size; {
		w := p.pool[i].server.Weight()
		if now-p.pool[i].receivedAt > maxReplyAge || (w < 1 && r.Float64() >= w) {
			p.remove(i)
			continue
		}
		i++
	}
}

// removeOldestOrWorst removes one reply, alternately the oldest and the worst, if the
// pool has more than minOccupancy.
func (p *Policy) removeOldestOrWorst(hotThreshold int32) {
	if p.size <= minOccupancy {
		return
	}
	i := p.oldest()
	if p.removeWorstNext {
		i = 0
		for k := 1; k < p.size; k++ {
			if p.isPreferable(i, k, hotThreshold) {
				i = k
			}
		}
	}
	p.removeWorstNext = !p.removeWorstNext
	p.remove(i)
}

// oldest returns the index of the oldest reply in the pool.
func (p *Policy) oldest() int {
	i := 0
	for k := 1; k < p.size; k++ {
		if p.pool[k].receivedAt < p.pool[i].receivedAt {
			i = k
		}
	}
	return i
}

// remove removes reply i and moves the last reply to its index.
func (p *Policy) remove(i int) {
	p.size--
	p.pool[i] = p.pool[p.size]
	p.pool[p.size] = probeReply{}
}
