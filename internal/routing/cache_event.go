package routing

// CacheEvent is one change of an engine's prompt cache.
type CacheEvent struct {
	// Seq is the sequence number of the event. The numbers of an engine are
	// consecutive unless it dropped events.
	Seq int64
	// Stored is false when the block was removed.
	Stored bool
	// Block is the hash of the block, as in Request.Blocks.
	Block uint64
}
