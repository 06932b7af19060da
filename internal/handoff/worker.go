package handoff

import "rattantide/internal/journal"

// Worker runs records; *server.Server implements it.
type Worker interface {
	// Start works on a record that was taken over.
	Start(rec *journal.Record)
	// Stop ends the work on a record that moved away and waits for its end.
	Stop(rec *journal.Record)
}
