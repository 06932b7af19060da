package burn

// Alert says how urgent a burn is.
type Alert string

// The urgencies of a burn.
const (
	// AlertPage asks for a person now.
	AlertPage Alert = "page"
	// AlertTicket asks for a person within days.
	AlertTicket Alert = "ticket"
)

// alertRules are the usual multi-window rules: a rate must hold in a long
// window, so that a blip raises nothing, and in a short one, so that the alert
// ends soon after its cause. A rate of 14.4 spends 2% of a 30-day budget in an
// hour, 6 spends 5% in 6 hours, 1 spends 10% in 3 days.
var alertRules = []struct {
	long, short int
	rate        float64
	alert       Alert
}{
	{long: 1, short: 0, rate: 14.4, alert: AlertPage},
	{long: 2, short: 1, rate: 6, alert: AlertPage},
	{long: 3, short: 2, rate: 1, alert: AlertTicket},
}

// alertOf returns the most urgent alert; burn is in the order of Windows.
func alertOf(burn []WindowBurn) Alert {
	for _, rule := range alertRules {
		if burn[rule.long].Rate >= rule.rate && burn[rule.short].Rate >= rule.rate {
			return rule.alert
		}
	}
	return ""
}
