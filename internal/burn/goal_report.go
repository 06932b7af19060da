package burn

// GoalReport is the report of one goal of a class.
type GoalReport struct {
	Goal
	// Burn is in the order of Windows.
	Burn []WindowBurn `json:"burn"`
	// BudgetLeft is the part of the budget of the longest window that is left:
	// 1 is all of it, below 0 it is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	// Alert is AlertPage, AlertTicket or empty.
	Alert Alert `json:"alert,omitempty"`
	// Spenders lists what spent the budget of the longest window. First come
	// the values with the most bad requests above the average of the class, so
	// that a small bad version stands before a large average workspace.
	Spenders []Spender `json:"spenders"`
}

func reportGoal(goal Goal, index goalIndex, buckets []*bucket) GoalReport {
	out := GoalReport{Goal: goal, BudgetLeft: 1}
	for i, b := range buckets {
		burn := WindowBurn{Window: Windows[i].Name, Requests: b.counts.of(index), Bad: b.counts.Bad[index]}
		burn.Rate = rate(burn.Bad, burn.Requests, 1-goal.Share)
		out.Burn = append(out.Burn, burn)
	}
	longestWindow := buckets[len(buckets)-1]
	out.BudgetLeft = 1 - out.Burn[len(out.Burn)-1].Rate
	out.Alert = alertOf(out.Burn)
	out.Spenders = spendersOf(longestWindow, index)
	return out
}
