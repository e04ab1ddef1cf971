package server

// SetEvacuated states whether the failure domain of the backend server is evacuated. While
// it is, the backend server takes no attempt; everything else that is known of it stays.
func (s *Server) SetEvacuated(isEvacuated bool) {
	s.isEvacuated.Store(isEvacuated)
	s.updateUsable()
}

// IsEvacuated reports whether the failure domain of the backend server is evacuated.
func (s *Server) IsEvacuated() bool { return s.isEvacuated.Load() }
