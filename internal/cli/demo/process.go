package demo

import (
	"time"

	"rattantide/internal/proc"
)

// stopTimeout is how long a process may take to end after SIGTERM.
const stopTimeout = 5 * time.Second

// process is a started program in a failure domain.
type process struct {
	*proc.Process
	// domain is the failure domain, empty for the platform's processes.
	domain string
	// slot chooses the fixed address of a daemon.
	slot int
}
