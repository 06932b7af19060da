package admission

import "time"

// Rule names what decides about a request.
type Rule string

// The rules that hold or have handled a request.
const (
	// RulePoolLimit: the pool's concurrency limit is reached.
	RulePoolLimit Rule = "pool_limit"
	// RulePriority: classes of higher priority go first.
	RulePriority Rule = "priority"
	// RuleFairness: other workspaces are owed their share first.
	RuleFairness Rule = "workspace_fairness"
	// RuleOwnQueue: earlier requests of the same workspace go first.
	RuleOwnQueue Rule = "own_queue"
	RuleAdmitted Rule = "admitted"
	RuleShed     Rule = "shed_deadline"
	RuleFull     Rule = "queue_full"
	RuleGaveUp   Rule = "caller_gave_up"
)

// Explanation tells why a request waits, or what became of it.
type Explanation struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Class     string    `json:"class"`
	Pool      string    `json:"pool"`
	Waiting   bool      `json:"waiting"`
	Rule      Rule      `json:"rule"`
	Detail    string    `json:"detail"`
	Since     time.Time `json:"since"`
	// Waited is the time spent in the queue so far, or until it ended.
	Waited time.Duration `json:"waitedNs"`
	// Upstream is where the latest attempt went.
	Upstream string `json:"upstream,omitempty"`
	Version  string `json:"version,omitempty"`
}
