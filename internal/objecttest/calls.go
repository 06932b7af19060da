package objecttest

// Calls counts the calls that reached a Store, whether they succeeded or not.
type Calls struct {
	Gets    int64
	Lists   int64
	Puts    int64
	Deletes int64
	Watches int64
	// PutBytes is the size of all values that were written.
	PutBytes int64
}

// Total returns the number of calls; a watch counts as one.
func (c Calls) Total() int64 { return c.Gets + c.Lists + c.Puts + c.Deletes + c.Watches }
