package demo

import (
	"time"

	"rattantide/internal/proc"
)

// stopTimeout is the time that a process has to end after SIGTERM.
const stopTimeout = 5 * time.Second

// process is a started program in a failure domain.
type process struct {
	*proc.Process
	// domain is the failure domain, or empty for the stand-ins of the platform's
	// APIs.
	domain string
	// slot is the index of a daemon's address in fixedEntryAddresses.
	slot int
}
