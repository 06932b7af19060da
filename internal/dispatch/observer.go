package dispatch

// Observer receives every ended attempt for service-level recording. Observe
// must be safe for concurrent use and must not block.
type Observer interface {
	Observe(Observation)
}
