package handoff

import "rattantide/internal/journal"

// Worker runs records; *server.Server implements it.
type Worker interface {
	// Start begins to process a record that was taken over. It does not block.
	Start(rec *journal.Record)
	// Stop ends the processing of a record that moved to another daemon, and
	// blocks until it has ended.
	Stop(rec *journal.Record)
}
