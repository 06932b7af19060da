package objectclient

// causeList is an error that wraps several causes. Its text is that of the first
// cause.
type causeList []error

// Error returns the text of the first cause.
func (c causeList) Error() string { return c[0].Error() }

// Unwrap returns all causes.
func (c causeList) Unwrap() []error { return c }
