package dispatch

// highestPriority is the priority of the most urgent requests; 0 is the lowest.
const highestPriority = 9

// PriorityFromUrgency converts an urgency to a priority. The scale is inverted: urgency
// 0 is the most urgent.
func PriorityFromUrgency(urgency int) int {
	return highestPriority - min(max(urgency, 0), highestPriority)
}
