package engineclient

// StreamRequest is one attempt at a chat completion.
type StreamRequest struct {
	// Address is the engine's host and port.
	Address   string
	RequestID string
	// Attempt counts from 1 and is passed to the engine.
	Attempt int
	// Priority is 0 (lowest) to 9.
	Priority int
	// Body is the request in the chat-completions format with "stream": true.
	Body []byte
	// AfterEvent asks the engine to resume its own generation of this request
	// after that event number; 0 starts from the beginning.
	AfterEvent int64
	// FreshConnection opens a new connection instead of taking an idle one. It
	// is needed after an open connection has become silent: the idle ones to the
	// same engine may be silent too.
	FreshConnection bool
	// MaxEventBytes bounds one event; 0 means relay.DefaultMaxEvent.
	MaxEventBytes int
}
