package relay

// Event is one server-sent event. Data is the payload without the field name
// and without line ends; it is owned by the receiver.
type Event struct {
	// ID is the number of the event, or 0 when it has none.
	ID int64
	// Data is what stood behind "data:", several lines joined with '\n'.
	Data []byte
}
