package handoff

import (
	"sync"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
)

// trackedRecord is a record of this daemon with the state of its copy at the
// backup.
type trackedRecord struct {
	rec *journal.Record

	mu sync.Mutex
	// backup is the daemon with the copy; its name is empty when there is none.
	backup membership.Daemon
	// copiedAttempts and copiedEpoch are the number of attempts and the epoch
	// of the backup's copy.
	copiedAttempts int
	copiedEpoch    int64
	// formerBackups are daemons that may still have an obsolete copy.
	formerBackups []Address
	// avoidedBackups names daemons that failed to store the copy.
	avoidedBackups map[string]bool
	// failures counts consecutive failures to update the copy.
	failures int
}

func (t *trackedRecord) backupAddress() Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Address{Name: t.backup.Name, Address: t.backup.Address}
}
