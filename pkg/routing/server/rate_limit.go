package server

// RateLimit is the limit on requests that a backend server states in a response.
// It applies to the sum over all instances.
type RateLimit struct {
	Stated    bool    // false: the backend server takes any number of requests
	PerSecond float64 // requests per second, 0 or more
}

// RateLimit returns the rate limit that the backend server stated last.
func (s *Server) RateLimit() RateLimit {
	if l := s.rateLimit.Load(); l != nil {
		return *l
	}
	return RateLimit{}
}

// SetRateLimit sets the rate limit and reports whether it has changed.
func (s *Server) SetRateLimit(l RateLimit) bool {
	if s.RateLimit() == l {
		return false
	}
	s.rateLimit.Store(&l)
	return true
}
