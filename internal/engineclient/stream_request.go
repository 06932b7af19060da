package engineclient

// StreamRequest is one attempt at a chat completion.
type StreamRequest struct {
	// Address is the engine's host and port.
	Address   string
	RequestID string
	// Attempt is the attempt's number, starting at 1. It is sent to the engine.
	Attempt int
	// Priority is 0 (lowest) to 9.
	Priority int
	// Body is the request in the chat-completions format with "stream": true.
	Body []byte
	// AfterEvent is the number of the event after which the engine is to resume
	// its existing generation of this request, or 0 to start from the beginning.
	AfterEvent int64
	// FreshConnection opens a new connection instead of reusing an idle one. It is
	// needed after an attempt whose connection broke or stalled, because the idle
	// connections to the same engine may have failed too.
	FreshConnection bool
	// MaxEventBytes bounds one event; 0 selects relay.DefaultMaxEventBytes.
	MaxEventBytes int
}
