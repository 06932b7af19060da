package admin

// Explanation describes the state of a request and the rule that keeps it
// waiting.
type Explanation struct {
	ID        string `json:"id"`
	Daemon    string `json:"daemon"`
	State     string `json:"state"`
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class,omitempty"`
	Route     string `json:"route,omitempty"`
	// Rule is the rule that keeps the request waiting, for example
	// "upstream_limit"; empty if the request is not waiting.
	Rule string `json:"rule,omitempty"`
	// Detail describes in one sentence the condition that the request waits for.
	Detail string `json:"detail,omitempty"`
	// WaitedMs is the waiting time in milliseconds.
	WaitedMs int64 `json:"waitedMs"`
	// Upstream and Version are those of the latest attempt.
	Upstream string `json:"upstream,omitempty"`
	Version  string `json:"version,omitempty"`
	Attempts int    `json:"attempts"`
}
