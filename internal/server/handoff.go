package server

import (
	"context"

	"rattantide/internal/journal"
)

// Handoff keeps backup copies of records and finds records of other daemons.
// Accepted, Attempted and Finished return at once.
type Handoff interface {
	// Accepted starts to copy a new record to its backup.
	Accepted(rec *journal.Record)
	// Attempted tells the backup of a new attempt.
	Attempted(rec *journal.Record)
	// Finished lets the backup forget the record once a caller has its answer.
	// It is called at the end of the request and of each delivery.
	Finished(rec *journal.Record)
	// Locate finds a record that is not held here. The error is a
	// *problem.Problem.
	Locate(ctx context.Context, id string) (journal.Location, error)
	// MaySend reports whether this daemon is still the holder. It is called
	// before each write to a caller and is cheap unless the daemon was frozen.
	MaySend(ctx context.Context, rec *journal.Record) bool
	// Verify asks the backup whether this daemon is still the holder.
	Verify(ctx context.Context, rec *journal.Record) bool
}
