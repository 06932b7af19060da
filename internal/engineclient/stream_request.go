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
}
