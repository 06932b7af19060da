package admin

// Explanation tells where a request is and which rule holds it.
type Explanation struct {
	ID        string `json:"id"`
	Daemon    string `json:"daemon"`
	State     string `json:"state"`
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class,omitempty"`
	Route     string `json:"route,omitempty"`
	// Rule names the rule that holds a waiting request, for example
	// "upstream_limit"; empty when nothing holds it.
	Rule string `json:"rule,omitempty"`
	// Detail says in a sentence what the rule waits for.
	Detail   string `json:"detail,omitempty"`
	WaitedMs int64  `json:"waitedMs"`
	// Upstream and Version serve the latest attempt.
	Upstream string `json:"upstream,omitempty"`
	Version  string `json:"version,omitempty"`
	Attempts int    `json:"attempts"`
}
