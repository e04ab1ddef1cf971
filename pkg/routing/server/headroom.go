package server

import "time"

const (
	// fullOccupancy is the number of requests for each slot at which a backend server
	// counts as full for policies that estimate no cost, and leastOccupancy the one up to
	// which any request is placed there. The policy fresh has about the same limits.
	fullOccupancy  = 2.4
	leastOccupancy = 0.5
	// defaultSlots is the number of slots assumed if the report does not state it.
	defaultSlots = 6
	// maxHeadroomReportAge is the age above which a report says nothing about headroom.
	maxHeadroomReportAge = 1500 * time.Millisecond
)

// HeadroomChecker is a Policy that knows how much of a backend server's capacity is left.
type HeadroomChecker interface {
	// LeavesHeadroom reports whether one more request at s leaves the given share of the
	// range of load, from idle to the highest load at which the policy selects s.
	LeavesHeadroom(now time.Duration, s *Server, headroom float64) bool
}

// Occupancy returns the last reported number of requests for each slot, with the attempts
// begun since. It returns false if no recent report is known.
func (s *Server) Occupancy(now time.Duration) (float64, bool) {
	report, age, known := s.Reported(now)
	if !known || age > maxHeadroomReportAge {
		return 0, false
	}
	slots := report.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(report.Load()+s.BegunSinceReport()) / float64(slots), true
}

// LeavesHeadroom is HeadroomChecker for policies that estimate no cost: it compares the
// reported occupancy. A backend server without a recent report leaves headroom, because
// its load is not known.
func (s *Server) LeavesHeadroom(now time.Duration, headroom float64) bool {
	occupancy, known := s.Occupancy(now)
	return !known || occupancy < fullOccupancy-headroom*(fullOccupancy-leastOccupancy)
}
