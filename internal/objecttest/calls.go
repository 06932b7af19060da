package objecttest

// Calls counts the calls of a Store, including failed ones. A Put whose value exceeds
// the size limit is not counted.
type Calls struct {
	Gets    int64
	Lists   int64
	Puts    int64
	Deletes int64
	Watches int64
	// PutBytes is the total size of the values of all Put calls, in bytes.
	PutBytes int64
}

// Total returns the number of all calls. A watch counts as one call.
func (c Calls) Total() int64 { return c.Gets + c.Lists + c.Puts + c.Deletes + c.Watches }
