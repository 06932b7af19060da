package dispatch

// Repeats is a budget for attempts after the first, which all daemons share.
// Implementations are safe for concurrent use.
type Repeats interface {
	// First counts the first attempt of a request.
	First(pool string)
	// Take takes a repeat from the budget and reports whether it allows one.
	Take(pool string) bool
}
