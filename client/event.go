package client

// Event is a part of a streamed answer.
type Event struct {
	// Number counts the events of the answer from 1.
	Number int64
	// Data is the chunk in the chat-completions format.
	Data []byte
}
