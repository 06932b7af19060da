package journal

// State is the processing state of a request.
type State string

// The states of a request, in order.
const (
	StateAccepted   State = "accepted"
	StateQueued     State = "queued"
	StateDispatched State = "dispatched"
	StateStreaming  State = "streaming"
	StateFinished   State = "finished"
)
