package intent

// result is the end of a begin operation.
type result struct {
	grant Grant
	err   error
}
