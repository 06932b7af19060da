package configsync

// startAnswer is what one source of a start led to.
type startAnswer struct {
	source startSource
	ok     bool
}

// startSource is what a start asks.
type startSource int

const (
	startStore startSource = iota
	startInstances
	startPeer
)
