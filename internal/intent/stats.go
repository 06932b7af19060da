package intent

import "sync/atomic"

// Stats counts what a Log did. Its fields are safe for concurrent use.
type Stats struct {
	// Begins counts the begin operations that reached this daemon's writer.
	Begins atomic.Int64
	// Granted counts the intents committed here.
	Granted atomic.Int64
	// Finishes counts the outcomes written here.
	Finishes atomic.Int64
	// Gets, Puts and Deletes count the calls of the object API.
	Gets    atomic.Int64
	Puts    atomic.Int64
	Deletes atomic.Int64
	// Conflicts counts the writes that lost against another writer.
	Conflicts atomic.Int64
	// Forwarded counts the operations that a shard's preferred daemon took.
	Forwarded atomic.Int64
	// FellBack counts the operations that were written here because the
	// preferred daemon did not take them.
	FellBack atomic.Int64
}

// StoreCalls returns the number of calls of the object API.
func (s *Stats) StoreCalls() int64 { return s.Gets.Load() + s.Puts.Load() + s.Deletes.Load() }
