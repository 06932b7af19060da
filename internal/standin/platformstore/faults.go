package platformstore

// Faults are the injected faults of a Store. The zero value means none.
type Faults struct {
	// Status, if not 0, is the status of the response to every call.
	Status int
	// LoseAnswers is the number of further writes that are applied although the
	// connection is closed without a response.
	LoseAnswers int
	// LateWrites is the number of further writes whose connection is closed without a
	// response and which are applied by ApplyLateWrites, if their condition still
	// holds then.
	LateWrites int
	// PageSize limits the objects in the response to a list call; 0 means no limit.
	PageSize int
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// ApplyLateWrites applies the writes that were delayed by Faults.LateWrites.
func (s *Store) ApplyLateWrites() {
	s.mu.Lock()
	late := s.lateWrites
	s.lateWrites = nil
	s.mu.Unlock()
	for _, f := range late {
		f()
	}
}
