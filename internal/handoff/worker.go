package handoff

import "rattantide/internal/journal"

// Worker runs records; *server.Server implements it.
type Worker interface {
	// Start processes a record that was taken over.
	Start(rec *journal.Record)
	// Stop ends the processing of a record that moved to another daemon, and
	// blocks until it has ended.
	Stop(rec *journal.Record)
}
