package bench

import "time"

// spillSlot is the time slot in which attempts that cross failure domains are counted.
const spillSlot = 250 * time.Millisecond

// spill counts the attempts that cross failure domains, by time slot and failure domain
// of the backend server.
type spill struct {
	counts    map[int][]float64 // by failure domain
	attempts  int
	localIdle int // crossing attempts while a candidate of the own failure domain was fast and at most half full
}

func (s *spill) add(now time.Duration, domain int) {
	if s.counts == nil {
		s.counts = map[int][]float64{}
	}
	slot := int(now / spillSlot)
	for len(s.counts[domain]) <= slot {
		s.counts[domain] = append(s.counts[domain], 0)
	}
	s.counts[domain][slot]++
	s.attempts++
}

// dispersion compares the squared differences of neighbouring slots with those of
// independent arrivals. It is 1 for a Poisson process, also with a rate that changes
// slowly, and higher if entries move together.
func (s *spill) dispersion() float64 {
	squares, total := 0.0, 0.0
	for _, slots := range s.counts {
		for i := 1; i < len(slots); i++ {
			d := slots[i] - slots[i-1]
			squares += d * d
			total += slots[i] + slots[i-1]
		}
	}
	if total == 0 {
		return 0
	}
	return squares / total
}

// countAttempt counts an attempt that is sent now, and what it costs between failure
// domains.
func (e *entry) countAttempt(a *attempt) {
	sim, result := e.simulation, e.simulation.result
	result.Attempts++
	result.Bytes += attemptBytes
	if !e.isCrossDomain(a.backend) {
		return
	}
	result.CrossDomainRequests++
	result.CrossDomainBytes += attemptBytes
	sim.spill.add(sim.loop.now, a.backend.domain)
	if e.hasIdleLocalBackend() {
		sim.spill.localIdle++
	}
}

// hasIdleLocalBackend reports whether a candidate of the own failure domain is in fact
// fast and at most half full, whatever the entry knows of it. Policy fresh has eight
// candidates there.
func (e *entry) hasIdleLocalBackend() bool {
	const candidates = 8
	n := 0
	for _, s := range e.routingSet.Servers() {
		if !s.Local() || n == candidates {
			return false
		}
		n++
		b := e.simulation.backendsByAddress[s.Address()]
		if !b.isSlow(e.simulation.loop.now) && len(b.running) <= slotsPerBackend/2 {
			return true
		}
	}
	return false
}
