package upstreamstate

import "rattantide/internal/membership"

// Update is a new report of a process. The report has an age, but no time of receipt.
type Update struct {
	Process Process
	Load    membership.Load
}
