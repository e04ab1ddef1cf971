package outlier

import (
	"cmp"
	"slices"
	"time"

	"lentilpin/pkg/config/dynamic"
)

// MarkDraining marks a backend server as draining from now on. source is one of the
// Source constants. The mark takes effect at once; the next Sweep returns the
// change.
func (d *Detector) MarkDraining(now time.Duration, address, source string) {
	d.Merge(now, now, address, source)
}

// Merge adds a drain mark whose original signal was at seen, usually from a peer.
// A time in the future, from a peer whose wall clock is ahead, counts as now. A
// mark that has expired or is not newer than the known one is ignored.
func (d *Detector) Merge(now, seen time.Duration, address, source string) {
	d.mu.Lock()
	defer d.unlockAndRecord()
	seen = min(seen, now)
	if seen+dynamic.MillisToDuration(d.settings.DrainHoldMS) <= now {
		return
	}
	s := (*d.servers.Load())[address]
	listed := s != nil
	if s == nil {
		s = d.unlisted[address]
	}
	if s == nil {
		s = &server{address: address}
	}
	if s.hasDrainMark && s.drainMark.SignaledAt >= seen {
		return
	}
	s.drainMark, s.hasDrainMark = DrainMark{Address: address, SignaledAt: seen, Source: source}, true
	if !listed {
		d.retainUnlisted(now, s)
		return
	}
	if s.state != StateDraining {
		d.setState(now, s, StateDraining, ReasonDrainSignal)
	}
}

// IsDraining reports whether a server of the list is marked as draining.
func (d *Detector) IsDraining(now time.Duration, address string) bool {
	s := (*d.servers.Load())[address]
	if s == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isDraining(now, s)
}

// DrainingAddresses returns the sorted addresses of the servers that are marked as
// draining.
func (d *Detector) DrainingAddresses(now time.Duration) []string {
	var out []string
	for _, m := range d.ActiveDrainMarks(now) {
		out = append(out, m.Address)
	}
	return out
}

// ActiveDrainMarks returns the drain marks in force, sorted by address. It includes
// the marks of servers outside the list.
func (d *Detector) ActiveDrainMarks(now time.Duration) []DrainMark {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []DrainMark
	for _, s := range d.sortedServers {
		if d.isDraining(now, s) {
			out = append(out, s.drainMark)
		}
	}
	for _, s := range d.unlisted {
		if d.isDraining(now, s) {
			out = append(out, s.drainMark)
		}
	}
	slices.SortFunc(out, func(a, b DrainMark) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

func (d *Detector) isDraining(now time.Duration, s *server) bool {
	return s.hasDrainMark && now < s.drainMark.SignaledAt+dynamic.MillisToDuration(d.settings.DrainHoldMS)
}
