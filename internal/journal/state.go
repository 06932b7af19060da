package journal

// State is the processing state of a request.
type State string

// The states of a request, in order. A further attempt returns a request to
// StateDispatched.
const (
	StateAccepted   State = "accepted"
	StateQueued     State = "queued"
	StateDispatched State = "dispatched"
	StateStreaming  State = "streaming"
	StateFinished   State = "finished"
)
