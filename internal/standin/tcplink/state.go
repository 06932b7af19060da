package tcplink

import "time"

// State selects how a link treats connections. The zero value forwards data at once.
type State struct {
	// Delay is added before each write, in each direction.
	Delay time.Duration
	// HoldRequests and HoldAnswers hold data to the server or from it, including the
	// end of the stream, until the state changes. One of them simulates a one-way
	// partition, both together a partition.
	HoldRequests, HoldAnswers bool
	// RefuseNew resets new connections; open ones are not affected.
	RefuseNew bool
}
