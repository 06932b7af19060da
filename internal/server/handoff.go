package server

import (
	"context"

	"rattantide/internal/journal"
)

// Handoff copies records to a backup daemon and locates records that other
// daemons hold. Accepted, Attempted and Finished do not block.
type Handoff interface {
	// Accepted starts copying a new record to its backup.
	Accepted(rec *journal.Record)
	// Attempted reports a new attempt of the record to the backup.
	Attempted(rec *journal.Record)
	// Finished lets the backup delete the record once a caller has received its
	// answer. It is called when the request ends and after each delivery.
	Finished(rec *journal.Record)
	// Locate finds a record that this daemon does not hold. The error is a
	// *problem.Problem.
	Locate(ctx context.Context, id string) (journal.Location, error)
	// MaySend reports whether this daemon is still the holder of the record. It
	// is called before each write to a caller. It is cheap unless the process
	// was suspended for some time.
	MaySend(ctx context.Context, rec *journal.Record) bool
	// Verify asks the backup whether this daemon is still the holder of the record.
	Verify(ctx context.Context, rec *journal.Record) bool
}
