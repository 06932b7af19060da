package engineclient

import "fmt"

// Error is a failed call to an engine.
type Error struct {
	// Status is the HTTP status, or 0 when there was no answer.
	Status int
	// NotRun says that the call did not run: the connection could not be
	// opened, so that no byte was sent, or the engine itself said so.
	NotRun bool
	// Draining says that the engine announced that it is leaving.
	Draining bool
	// Body is the start of the engine's answer, at most 4 KB.
	Body []byte
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return "engine: " + e.Err.Error()
	}
	return fmt.Sprintf("engine answered %d", e.Status)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
