package journal

// State is how far a request has come.
type State string

// The states of a request, in order.
const (
	StateAccepted   State = "accepted"
	StateQueued     State = "queued"
	StateDispatched State = "dispatched"
	StateStreaming  State = "streaming"
	StateFinished   State = "finished"
)
