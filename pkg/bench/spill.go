package bench

import "time"

// spillSlot is the time slot in which attempts that cross failure domains are counted.
const spillSlot = 250 * time.Millisecond

// spill counts the attempts that cross failure domains, by the failure domains of the
// entry and of the backend server and by time slot.
type spill struct {
	counts    [maxDomains][maxDomains][]float64
	attempts  int
	localIdle int // crossing attempts while a candidate of the own failure domain was fast and at most half full
}

func (s *spill) add(now time.Duration, from, to int) {
	slot := int(now / spillSlot)
	for i := range s.counts[from] {
		for len(s.counts[from][i]) <= slot {
			s.counts[from][i] = append(s.counts[from][i], 0)
		}
	}
	s.counts[from][to][slot]++
	s.attempts++
}

// dispersion compares the squared differences of the attempts that leave a failure domain
// in neighbouring slots with those of independent departures. It is 1 for a Poisson
// process, also with a rate that changes slowly, and higher the faster the rate changes.
func (s *spill) dispersion() float64 {
	squares, total := 0.0, 0.0
	for _, destinations := range s.counts {
		previous := 0.0
		for slot := range destinations[0] {
			n := 0.0
			for _, slots := range destinations {
				n += slots[slot]
			}
			if slot > 0 {
				squares += (n - previous) * (n - previous)
				total += n + previous
			}
			previous = n
		}
	}
	return quotient(squares, total)
}

// herding compares how the attempts that leave a failure domain in one slot are divided
// among the others with independent choices of constant probability. It is 1 for those,
// and as high as the number of attempts in a slot if all choose the same.
func (s *spill) herding() float64 {
	squares, variances := 0.0, 0.0
	for _, destinations := range s.counts {
		all := 0.0
		for _, slots := range destinations {
			all += sum(slots)
		}
		for _, slots := range destinations {
			share := quotient(sum(slots), all)
			for slot, n := range slots {
				inSlot := 0.0
				for _, other := range destinations {
					inSlot += other[slot]
				}
				squares += (n - inSlot*share) * (n - inSlot*share)
				variances += inSlot * share * (1 - share)
			}
		}
	}
	return quotient(squares, variances)
}

func sum(list []float64) (total float64) {
	for _, x := range list {
		total += x
	}
	return total
}

// quotient returns a / b, or 0 if b is 0.
func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
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
	sim.spill.add(sim.loop.now, e.domain, a.backend.domain)
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
