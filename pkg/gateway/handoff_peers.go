package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/transport"
)

const (
	// peerAvoidance is how long a peer that could not take a request of a service is
	// not asked again.
	peerAvoidance = time.Second
	// handoffConnections bounds the connections to one peer for each service, and
	// handoffDialMS the time to make one, in milliseconds. An idle connection is closed
	// after handoffIdleMS: far less than the drain of a peer that stops, which closes its
	// idle connections at the end.
	handoffConnections = 64
	handoffDialMS      = 200
	handoffIdleMS      = 100
)

// handoffPeers is what a service knows about the peers. It is safe for concurrent use.
type handoffPeers struct {
	pool *transport.Pool

	mu           sync.Mutex
	avoidedUntil map[string]time.Duration // by address
}

func newHandoffPeers(s *service, o *Options) *handoffPeers {
	settings := &peerPoolSettings{service: &s.settings}
	return &handoffPeers{
		pool:         transport.NewPool(transport.Options{Settings: settings.load, Recorder: s.recorder, Dial: o.dialPeer}),
		avoidedUntil: map[string]time.Duration{},
	}
}

// peerPoolSettings derives the settings of the connections to peers from those of the
// service. The pool recognizes settings by their address, so that each version is derived
// once.
type peerPoolSettings struct {
	service *atomic.Pointer[dynamic.Service]

	mu              sync.Mutex
	source, derived *dynamic.Service
}

func (p *peerPoolSettings) load() *dynamic.Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current := p.service.Load(); current != p.source {
		derived := *current
		derived.InstanceCeiling = 1
		derived.Connections.PerBackend = handoffConnections
		derived.Connections.DialMS = handoffDialMS
		derived.Connections.IdleMS = handoffIdleMS
		derived.Responses.Unframed = false // instances state where their responses end
		p.source, p.derived = current, &derived
	}
	return p.derived
}

func (p *handoffPeers) isAvoided(now time.Duration, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.avoidedUntil[address]
}

func (p *handoffPeers) avoid(now time.Duration, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.avoidedUntil {
		if until < now {
			delete(p.avoidedUntil, other)
		}
	}
	p.avoidedUntil[address] = now + peerAvoidance
}
