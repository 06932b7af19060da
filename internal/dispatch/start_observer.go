package dispatch

// StartObserver is called for every attempt that is started, with the pool and the version of
// its upstream and the route of its request. ObserveStart must be safe for concurrent use and
// must not block.
type StartObserver interface {
	ObserveStart(pool, version, route string)
}
