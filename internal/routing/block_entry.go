package routing

// blockEntry records which upstreams hold a cache block.
type blockEntry struct {
	holders slotSet
	// uncertain contains the holders some of whose later events were lost, so
	// that a removal may have been missed.
	uncertain slotSet
}
