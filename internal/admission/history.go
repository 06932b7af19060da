package admission

// maxHistory bounds the number of decided requests that Explain can return.
const maxHistory = 4096

// history stores the explanations of the latest requests that left the queue.
type history struct {
	ring []string
	next int
	byID map[string]Explanation
}

func newHistory() history { return history{byID: map[string]Explanation{}} }

func (h *history) put(e Explanation) {
	if _, ok := h.byID[e.ID]; !ok {
		if len(h.ring) < maxHistory {
			h.ring = append(h.ring, e.ID)
		} else {
			delete(h.byID, h.ring[h.next])
			h.ring[h.next] = e.ID
			h.next = (h.next + 1) % maxHistory
		}
	}
	h.byID[e.ID] = e
}
