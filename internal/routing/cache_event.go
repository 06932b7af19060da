package routing

// CacheEvent is one change of an engine's prompt cache.
type CacheEvent struct {
	Seq int64
	// Stored is false when the block was removed.
	Stored bool
	Block  uint64
}
