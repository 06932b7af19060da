package server

import (
	"context"

	"rattantide/internal/journal"
)

// Handoff copies records to a backup daemon and locates records that other
// daemons hold. OnAccepted, OnAttempted and OnFinished do not block.
type Handoff interface {
	// OnAccepted starts copying a new record to its backup.
	OnAccepted(rec *journal.Record)
	// OnAttempted reports a new attempt of the record to the backup.
	OnAttempted(rec *journal.Record)
	// OnFinished lets the backup delete the record once a caller has received its
	// answer. It is called when the request ends and after each delivery.
	OnFinished(rec *journal.Record)
	// Locate finds a record that this daemon does not hold. It may take the record
	// over if the holder is gone. The error wraps a *problem.Problem, unless ctx
	// ended or a call to the record's backup failed.
	Locate(ctx context.Context, id string) (journal.Location, error)
	// CanSend reports whether this daemon is still the holder of the record. It
	// is called before each write to a caller. It is cheap unless the process
	// was suspended for some time or the record is being handed over; then it
	// blocks until the holder is known or ctx ends.
	CanSend(ctx context.Context, rec *journal.Record) bool
	// Verify asks the backup whether this daemon is still the holder of the record.
	Verify(ctx context.Context, rec *journal.Record) bool
}
