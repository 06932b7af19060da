package intent

// result is the result of a begin operation: either a grant or an error.
type result struct {
	grant Grant
	err   error
}
