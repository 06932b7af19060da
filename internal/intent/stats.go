package intent

import "sync/atomic"

// Stats holds the counters of a Log. Its fields are safe for concurrent use.
type Stats struct {
	// Begins counts the begin operations that the local writer processed. An
	// operation that was queued again is counted again.
	Begins atomic.Int64
	// Granted counts the intents committed by this daemon.
	Granted atomic.Int64
	// Finishes counts the outcomes written by this daemon.
	Finishes atomic.Int64
	// Gets, Puts and Deletes count the calls to the object API.
	Gets    atomic.Int64
	Puts    atomic.Int64
	Deletes atomic.Int64
	// Conflicts counts the writes that failed because of another writer.
	Conflicts atomic.Int64
	// Forwarded counts the operations handled by the preferred daemon of their
	// shard.
	Forwarded atomic.Int64
	// Fallbacks counts the operations handled by the local writer because the
	// preferred daemon failed to answer.
	Fallbacks atomic.Int64
}

// StoreCalls returns the number of calls to the object API.
func (s *Stats) StoreCalls() int64 { return s.Gets.Load() + s.Puts.Load() + s.Deletes.Load() }
