package dispatch

// highestPriority is that of the most urgent requests; 0 is the lowest.
const highestPriority = 9

// PriorityOf returns the priority of an urgency, which counts the other way: 0 is
// the most urgent.
func PriorityOf(urgency int) int {
	return highestPriority - min(max(urgency, 0), highestPriority)
}
