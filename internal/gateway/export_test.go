package gateway

// The bounds on what a daemon holds of answers, for tests.
const (
	MaxEventBytes     = maxEventBytes
	StreamBufferBytes = streamBufferBytes
	MaxHeldBytes      = maxHeldBytes
)

// HeldBytes returns how many bytes of answers the server holds beside what each may hold
// freely, and the most that it has held.
func (s *Server) HeldBytes() (now, peak int) {
	s.answers.mu.Lock()
	defer s.answers.mu.Unlock()
	return s.answers.held, s.answers.peak
}
