package objectclient

// causes is an error with several causes; the first is its text.
type causes []error

// Error returns the text of the first cause.
func (c causes) Error() string { return c[0].Error() }

// Unwrap returns all causes.
func (c causes) Unwrap() []error { return c }
