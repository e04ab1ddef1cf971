package routing

import "time"

// PickWithHeadroom is Pick for a request that leaves headroom to more urgent ones: a
// backend server is selected only if the given share of its range of load, 0 to 1, stays
// free. With headroom 0 it is Pick. The policy selects the backend server of lowest cost,
// so that no other one leaves more.
func (s *Set) PickWithHeadroom(now time.Duration, exclude []*Server, headroom float64) *Server {
	return s.pick(now, exclude, headroom)
}

// leavesHeadroom reports whether one more request at srv leaves the headroom.
func (st *activeSettings) leavesHeadroom(now time.Duration, srv *Server, headroom float64) bool {
	if headroom <= 0 {
		return true
	}
	if st.headroomChecker != nil {
		return st.headroomChecker.LeavesHeadroom(now, srv, headroom)
	}
	return srv.LeavesHeadroom(now, headroom)
}

// MeanOccupancy returns the mean reported number of requests at a backend server for each
// slot, with the slots of the settings; 0 without reports.
func (s *Set) MeanOccupancy() float64 {
	return s.MeanLoad() / float64(max(1, s.Settings().Slots))
}
