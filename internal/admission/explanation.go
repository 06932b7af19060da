package admission

import "time"

// Rule is the rule by which a request waits, was admitted or was refused.
type Rule string

// The rules that block a request or decided on it.
const (
	// RulePoolLimit: the pool's concurrency limit is reached.
	RulePoolLimit Rule = "pool_limit"
	// RulePriority: classes of higher priority go first.
	RulePriority Rule = "priority"
	// RuleFairness: other workspaces have not received their share yet.
	RuleFairness Rule = "workspace_fairness"
	// RuleWorkspaceQueue: earlier requests of the same workspace go first.
	RuleWorkspaceQueue Rule = "own_queue"
	RuleAdmitted       Rule = "admitted"
	RuleShed           Rule = "shed_deadline"
	// RuleFairShare: the workspace has used up its fair share of the room of the fleet.
	RuleFairShare    Rule = "workspace_share"
	RuleQueueFull    Rule = "queue_full"
	RuleCallerGaveUp Rule = "caller_gave_up"
)

// Explanation states why a request waits, or what was decided on it.
type Explanation struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Class     string    `json:"class"`
	Pool      string    `json:"pool"`
	Waiting   bool      `json:"waiting"`
	Rule      Rule      `json:"rule"`
	Detail    string    `json:"detail"`
	Since     time.Time `json:"since"`
	// Waited is the time spent in the queue, so far or until the decision.
	Waited time.Duration `json:"waitedNs"`
	// Room holds the figures of a refusal where the work limit is divided among priorities.
	Room *RoomExplanation `json:"room,omitempty"`
	// Upstream is the upstream of the latest attempt.
	Upstream string `json:"upstream,omitempty"`
	Version  string `json:"version,omitempty"`
}
