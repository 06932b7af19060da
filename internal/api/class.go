package api

// Class is the spec of a service class: its latency, completeness and cost
// targets, and how its requests may be retried and hedged.
type Class struct {
	Target Target `json:"target"`
	// Completeness is the share of accepted requests that must be answered in
	// full, above 0 and at most 1. Default 0.999.
	Completeness float64 `json:"completeness,omitempty"`
	// CostPer1000 is the target cost of 1,000 requests, in the currency of the
	// prices in the instance list. 0 means no target.
	CostPer1000 float64 `json:"costPer1000,omitempty"`
	// Deadline is the longest allowed time from the acceptance of a request to
	// its complete answer, above 0 and at most 24h. Default 60s.
	Deadline Duration `json:"deadline,omitempty"`
	// Priority orders classes under load, from 0 (lowest) to 9. Default 5.
	Priority *int `json:"priority,omitempty"`
	// Idempotent reports whether a request may be executed more than once.
	// Default true. Requests of a class that is not idempotent are executed at
	// most once.
	Idempotent *bool `json:"idempotent,omitempty"`
	// RetryBudget is the share of requests that may be retried, 0 to 1.
	// Default 0.1.
	RetryBudget *float64 `json:"retryBudget,omitempty"`
	// HedgeBudget is the share of requests that may be hedged, 0 to 1.
	// Default 0.
	HedgeBudget *float64 `json:"hedgeBudget,omitempty"`
}

// Target is the latency target of a class. Classes for chat completions set
// FirstToken and BetweenTokens; classes for plain services set Answer.
type Target struct {
	// FirstToken is the target time to the first token.
	FirstToken Duration `json:"firstToken,omitempty"`
	// BetweenTokens is the target time between consecutive tokens.
	BetweenTokens Duration `json:"betweenTokens,omitempty"`
	// Answer is the target time to the complete answer.
	Answer Duration `json:"answer,omitempty"`
	// Within is the share of requests that must meet the target. Default 0.95.
	Within float64 `json:"within,omitempty"`
}

// Defaults of a Class.
const (
	DefaultCompleteness = 0.999
	DefaultWithin       = 0.95
	DefaultPriority     = 5
	DefaultRetryBudget  = 0.1
)

// IsIdempotent reports whether requests of the class may be executed more than
// once. Default true.
func (c *Class) IsIdempotent() bool { return c.Idempotent == nil || *c.Idempotent }

// PriorityOrDefault returns Priority or its default.
func (c *Class) PriorityOrDefault() int {
	if c.Priority == nil {
		return DefaultPriority
	}
	return *c.Priority
}

// RetryBudgetOrDefault returns RetryBudget or its default.
func (c *Class) RetryBudgetOrDefault() float64 {
	if c.RetryBudget == nil {
		return DefaultRetryBudget
	}
	return *c.RetryBudget
}

// HedgeBudgetOrDefault returns HedgeBudget or its default.
func (c *Class) HedgeBudgetOrDefault() float64 {
	if c.HedgeBudget == nil {
		return 0
	}
	return *c.HedgeBudget
}
