package configsync

// startResult is the outcome of reading one source at the start.
type startResult struct {
	source startSource
	ok     bool
}

// startSource is a source that is read at the start.
type startSource int

const (
	startStore startSource = iota
	startInstances
	startPeer
)
