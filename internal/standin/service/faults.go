package service

import "strings"

// Faults are the injected faults of a Service. FailBefore, FailAfter, CloseBefore,
// CloseAfter and HangAfter are the numbers of calls that they still apply to; -1
// means every call.
type Faults struct {
	// OnlyPath limits the faults except Draining to paths with this prefix.
	OnlyPath string `json:"onlyPath"`
	// AboveLoad limits the faults except Draining to times at which more than
	// that many calls run.
	AboveLoad int `json:"aboveLoad"`
	// DelayMs delays the execution of each call, in milliseconds.
	DelayMs int64 `json:"delayMs"`
	// FailBefore responds with status 500 without executing the call, FailAfter
	// responds with status 500 after executing it.
	FailBefore int `json:"failBefore"`
	FailAfter  int `json:"failAfter"`
	// CloseBefore closes the connection without executing the call and without a
	// response, CloseAfter does so after executing it.
	CloseBefore int `json:"closeBefore"`
	CloseAfter  int `json:"closeAfter"`
	// HangAfter executes the call and then sends no response on the open
	// connection.
	HangAfter int `json:"hangAfter"`
	// Draining refuses calls without executing them and reports that the service
	// is shutting down.
	Draining bool `json:"draining"`
}

func (f *Faults) applies(path string, running int) bool {
	return strings.HasPrefix(path, f.OnlyPath) && running > f.AboveLoad
}

// takeCount reports whether a fault with this count applies to a call, and
// decrements a positive count.
func takeCount(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
