package dispatch

// StartObserver is called with the pool and the version of the upstream of every attempt
// that is started. ObserveStart must be safe for concurrent use and must not block.
type StartObserver interface {
	ObserveStart(pool, version string)
}
