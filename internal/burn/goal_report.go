package burn

// GoalReport is the report of one goal of a class.
type GoalReport struct {
	Goal
	// Burn contains the burn of each window, in the order of Windows.
	Burn []WindowBurn `json:"burn"`
	// BudgetLeft is the remaining share of the budget of the longest window: 1 if
	// nothing was spent, below 0 if the budget is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	// Alert is AlertPage or AlertTicket; empty if there is no alert.
	Alert Alert `json:"alert,omitempty"`
	// Spenders lists the values that spent the budget of the longest window,
	// sorted by the number of bad requests above the average of the class. A bad
	// version with little traffic thus precedes an average workspace with much
	// traffic.
	Spenders []Spender `json:"spenders"`
}

func newGoalReport(goal Goal, index goalIndex, buckets []*bucket) GoalReport {
	report := GoalReport{Goal: goal, BudgetLeft: 1}
	for i, b := range buckets {
		windowBurn := WindowBurn{Window: Windows[i].Name, Requests: b.counts.requestsFor(index), Bad: b.counts.Bad[index]}
		windowBurn.Rate = burnRate(windowBurn.Bad, windowBurn.Requests, 1-goal.Share)
		report.Burn = append(report.Burn, windowBurn)
	}
	longestWindow := buckets[len(buckets)-1]
	report.BudgetLeft = 1 - report.Burn[len(report.Burn)-1].Rate
	report.Alert = mostUrgentAlert(report.Burn)
	report.Spenders = topSpenders(longestWindow, index)
	return report
}
