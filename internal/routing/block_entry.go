package routing

// blockEntry is what is known of one cache block.
type blockEntry struct {
	held slotSet
	// doubtful marks holders whose later events were lost, so that a removal
	// may have been missed.
	doubtful slotSet
}
