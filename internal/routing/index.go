package routing

import "math/bits"

const (
	// maxSlots bounds the number of upstreams of an Index. It leaves room above
	// the default subset of 100 for upstreams that are replaced.
	maxSlots  = 256
	slotWords = maxSlots / 64
	// DefaultIndexBlocks is the default bound on the blocks of an Index. It
	// corresponds to about 4 MB.
	DefaultIndexBlocks = 1 << 15
	// maxProbes bounds the lookups for one prompt, which then take about 1 µs.
	// Longer prompts are looked up with a stride.
	maxProbes = 32
	// sampleMask selects the blocks that are tracked: a quarter of all, by
	// their hash. With blocks of 16 tokens, the length of a cached prefix is
	// then known to about 64 tokens, and the index covers four times as many
	// prompts.
	sampleMask = 3
	// minLostShare is the minimum ratio of lost events to the blocks of an
	// upstream at which all its blocks become uncertain. Marking them after
	// every gap routed prompts to other upstreams although the blocks were
	// still cached.
	minLostShare = 0.2
)

// isSampled reports whether a block is tracked.
func isSampled(block uint64) bool { return block&sampleMask == 0 }

// Index records which upstreams are expected to hold which cache blocks. It is
// not safe for concurrent use. It has two generations of entries and discards
// the older one when the newer one is full, so its memory is bounded.
type Index struct {
	limit int
	young map[uint64]*blockEntry
	old   map[uint64]*blockEntry
}

// matchCounts is the number of matching leading blocks by slot.
type matchCounts [maxSlots]uint16

// NewIndex returns an empty Index of at most maxBlocks blocks.
func NewIndex(maxBlocks int) *Index {
	return &Index{limit: max(2, maxBlocks) / 2, young: map[uint64]*blockEntry{}, old: map[uint64]*blockEntry{}}
}

// RecordStored records that the upstream at slot holds a block.
func (x *Index) RecordStored(slot int, block uint64) {
	if !isSampled(block) {
		return
	}
	e := x.promote(block)
	e.holders.add(slot)
	e.uncertain.remove(slot)
}

// RecordRemoved records that the upstream at slot evicted a block.
func (x *Index) RecordRemoved(slot int, block uint64) {
	if e := x.find(block); e != nil {
		e.holders.remove(slot)
		e.uncertain.remove(slot)
	}
}

// RecordSent records that a prompt with these blocks was sent to the upstream
// at slot. The upstream will hold them before its cache events report them.
func (x *Index) RecordSent(slot int, blocks []uint64) {
	for _, b := range blocks {
		x.RecordStored(slot, b)
	}
}

// RecordGap records that a number of events of the upstream at slot were lost.
// Its blocks become uncertain when the lost events may include the removal of a
// large share of them.
func (x *Index) RecordGap(slot int, lost int64) {
	count := 0
	for _, generation := range []map[uint64]*blockEntry{x.young, x.old} {
		for _, e := range generation {
			if e.holders.has(slot) {
				count++
			}
		}
	}
	if float64(lost) < minLostShare*float64(count*(sampleMask+1)) {
		return
	}
	for _, generation := range []map[uint64]*blockEntry{x.young, x.old} {
		for _, e := range generation {
			if e.holders.has(slot) {
				e.uncertain.add(slot)
			}
		}
	}
}

// Clear removes all blocks of the upstream at slot.
func (x *Index) Clear(slot int) {
	for _, generation := range []map[uint64]*blockEntry{x.young, x.old} {
		for block, e := range generation {
			e.holders.remove(slot)
			e.uncertain.remove(slot)
			if e.holders.empty() {
				delete(generation, block)
			}
		}
	}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.young) + len(x.old) }

// countMatches sets out to the number of leading blocks that each slot holds.
// The number is halved for a slot that is uncertain for any of the blocks.
func (x *Index) countMatches(blocks []uint64, out *matchCounts) {
	*out = matchCounts{}
	stride := max(1, len(blocks)/(sampleMask+1)/maxProbes)
	var matching, uncertain slotSet
	for i := range matching {
		matching[i] = ^uint64(0)
	}
	matched, skipped := 0, 0
	for position, b := range blocks {
		if !isSampled(b) {
			continue
		}
		if skipped++; skipped < stride {
			continue
		}
		skipped = 0
		var holders slotSet
		if e := x.find(b); e != nil {
			holders = e.holders
			for i := range uncertain {
				uncertain[i] |= e.uncertain[i] & matching[i]
			}
		}
		for i := range matching {
			storeCounts(out, i, matching[i]&^holders[i], matched, uncertain[i])
			matching[i] &= holders[i]
		}
		if matching.empty() {
			return
		}
		matched = position + 1
	}
	for i := range matching {
		storeCounts(out, i, matching[i], matched, uncertain[i])
	}
}

// storeCounts sets the count of all slots of one word of a slotSet that are in
// set; it is halved for uncertain slots.
func storeCounts(out *matchCounts, word int, set uint64, matched int, uncertain uint64) {
	if matched == 0 {
		return
	}
	for set != 0 {
		bit := bits.TrailingZeros64(set)
		set &^= 1 << bit
		n := matched
		if uncertain&(1<<bit) != 0 {
			n /= 2
		}
		out[word*64+bit] = uint16(min(n, 1<<16-1))
	}
}

func (x *Index) find(block uint64) *blockEntry {
	if e, ok := x.young[block]; ok {
		return e
	}
	return x.old[block]
}

// promote returns the entry of a block in the newer generation. It moves the
// entry there or creates it.
func (x *Index) promote(block uint64) *blockEntry {
	if e, ok := x.young[block]; ok {
		return e
	}
	e, ok := x.old[block]
	if ok {
		delete(x.old, block)
	} else {
		e = &blockEntry{}
	}
	if len(x.young) >= x.limit {
		x.old = x.young
		x.young = make(map[uint64]*blockEntry, 64)
	}
	x.young[block] = e
	return e
}
