package relay

// Event is one server-sent event.
type Event struct {
	// ID is the number of the event, or 0 if it has none.
	ID int64
	// Data is the value of the event's data field, without the final line end. The
	// values of several data lines are joined with '\n'. Reader.Next documents
	// how long it is valid.
	Data []byte
}
