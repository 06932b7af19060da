package routing

// slotSet is a set of upstreams, as a bit per slot. A slot is the number of an
// upstream in an Index, from 0 to maxSlots-1.
type slotSet [slotWords]uint64

func (s *slotSet) add(slot int)      { s[slot>>6] |= 1 << (slot & 63) }
func (s *slotSet) remove(slot int)   { s[slot>>6] &^= 1 << (slot & 63) }
func (s *slotSet) has(slot int) bool { return s[slot>>6]&(1<<(slot&63)) != 0 }
func (s *slotSet) empty() bool       { return *s == slotSet{} }
