package dispatch

// RepeatBudget is a budget for attempts after the first, shared by all daemons.
// Implementations are safe for concurrent use.
type RepeatBudget interface {
	// RecordFirst counts the first attempt of a request.
	RecordFirst(pool string)
	// Take consumes one repeat from the budget. It returns false when the
	// budget is used up.
	Take(pool string) bool
}
