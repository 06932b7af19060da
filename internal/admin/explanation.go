package admin

// Explanation describes the state of a request and the admission rule that applies
// to it.
type Explanation struct {
	ID     string `json:"id"`
	Daemon string `json:"daemon"`
	// State is a state of package journal, for example "queued", or "ended" if this
	// daemon no longer has the record of the request.
	State     string `json:"state"`
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class,omitempty"`
	Route     string `json:"route,omitempty"`
	// Rule is the rule that keeps the request waiting, for example "pool_limit", or by
	// which it was decided, for example "admitted"; empty if not known.
	Rule string `json:"rule,omitempty"`
	// Detail describes in one sentence how the rule applies.
	Detail string `json:"detail,omitempty"`
	// WaitedMs is the time in the admission queue in milliseconds, so far or until the
	// decision.
	WaitedMs int64 `json:"waitedMs"`
	// Upstream and Version are those of the latest attempt.
	Upstream string `json:"upstream,omitempty"`
	Version  string `json:"version,omitempty"`
	Attempts int    `json:"attempts"`
}
