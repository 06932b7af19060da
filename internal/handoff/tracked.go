package handoff

import (
	"sync"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
)

// tracked is a record of this daemon and what its backup knows of it.
type tracked struct {
	rec *journal.Record

	mu sync.Mutex
	// backup is the daemon with the copy; its name is empty when there is none.
	backup membership.Daemon
	// attempts and epoch are those that the backup knows.
	attempts int
	epoch    int64
	// former have a copy that is no longer needed.
	former []Address
	// avoid names daemons that did not take the copy.
	avoid map[string]bool
	// failures counts consecutive failures.
	failures int
}

func (t *tracked) backupAddress() Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Address{Name: t.backup.Name, Address: t.backup.Address}
}
