package client

// Event is one event of a streamed answer.
type Event struct {
	// Number is the position of the event in the answer, from 1.
	Number int64
	// Data is a chunk in the chat completions format.
	Data []byte
}
