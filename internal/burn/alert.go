package burn

// Alert is the urgency of a burn.
type Alert string

const (
	// AlertPage requires immediate attention.
	AlertPage Alert = "page"
	// AlertTicket requires attention within days.
	AlertTicket Alert = "ticket"
)

// alertRules are the usual multi-window, multi-burn-rate rules, from the most to
// the least urgent. A rate must be reached in a long window, so that a brief spike
// raises no alert, and in a short one, so that the alert ends soon after its
// cause. long and short are indexes into Windows. A rate of 14.4 spends 2% of a
// 30-day budget in one hour, 6 spends 5% in 6 hours, and 1 spends 10% in 3 days.
var alertRules = []struct {
	long, short int
	rate        float64
	alert       Alert
}{
	{long: 1, short: 0, rate: 14.4, alert: AlertPage},
	{long: 2, short: 1, rate: 6, alert: AlertPage},
	{long: 3, short: 2, rate: 1, alert: AlertTicket},
}

// mostUrgentAlert returns the most urgent alert, or an empty one. burn is in the
// order of Windows.
func mostUrgentAlert(burn []WindowBurn) Alert {
	for _, rule := range alertRules {
		if burn[rule.long].Rate >= rule.rate && burn[rule.short].Rate >= rule.rate {
			return rule.alert
		}
	}
	return ""
}
