package intent

// result is the result of a begin operation.
type result struct {
	grant Grant
	err   error
}
