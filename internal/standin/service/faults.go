package service

import "strings"

// Faults are the switchable faults of a Service. Counts go down with each use;
// -1 means every call.
type Faults struct {
	// OnlyPath limits the faults except Draining to paths with this prefix.
	OnlyPath string `json:"onlyPath"`
	// AboveLoad limits the faults except Draining to times with more than that
	// many calls running.
	AboveLoad int `json:"aboveLoad"`
	// DelayMs delays each call before it is executed.
	DelayMs int64 `json:"delayMs"`
	// FailBefore answers 500 without executing, FailAfter 500 after executing.
	FailBefore int `json:"failBefore"`
	FailAfter  int `json:"failAfter"`
	// CloseBefore and CloseAfter close the connection before or after
	// executing, without an answer.
	CloseBefore int `json:"closeBefore"`
	CloseAfter  int `json:"closeAfter"`
	// HangAfter executes and then leaves the connection open without an answer.
	HangAfter int `json:"hangAfter"`
	// Draining refuses calls as not run and announces that the service leaves.
	Draining bool `json:"draining"`
}

func (f *Faults) applies(path string, running int) bool {
	return strings.HasPrefix(path, f.OnlyPath) && running > f.AboveLoad
}

// take uses up one of a count.
func take(count *int) bool {
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}
