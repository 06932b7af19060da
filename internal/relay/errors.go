package relay

import "fmt"

// SizeError reports an event that is larger than the Reader accepts. The rest
// of the stream cannot be read.
type SizeError struct {
	// Limit is the largest accepted event in bytes, including field names and line
	// ends.
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("server-sent event exceeds %d bytes", e.Limit)
}

// FormatError reports input that is not an event stream with numeric
// identifiers. The rest of the stream cannot be read.
type FormatError struct {
	Reason string
}

// Error implements error.
func (e *FormatError) Error() string { return "malformed event stream: " + e.Reason }
