package routing

import "math/bits"

const (
	// maxSlots bounds the upstreams of an Index. It leaves room above the
	// default subset of 100 for upstreams that come and go.
	maxSlots  = 256
	slotWords = maxSlots / 64
	// DefaultIndexBlocks bounds the blocks of an Index to about 4 MB.
	DefaultIndexBlocks = 1 << 15
	// maxProbes bounds the lookups for one prompt to about 1 µs; longer prompts
	// are looked up with a stride.
	maxProbes = 32
	// sampleMask selects the blocks that are tracked, a quarter of all by their
	// hash. With blocks of 16 tokens, a prefix is then known to about 64
	// tokens, and the index covers four times as many prompts.
	sampleMask = 3
	// doubtShare is the share of the blocks of an upstream that lost events must
	// be able to concern before the rest is doubted. Doubting all blocks after
	// each gap sent prompts away from upstreams that still held them.
	doubtShare = 0.2
)

func sampled(block uint64) bool { return block&sampleMask == 0 }

// Index knows which upstream is believed to hold which cache blocks. It is not
// safe for concurrent use. It keeps two generations of entries and drops the
// older one when the newer one is full, so its memory is bounded.
type Index struct {
	limit int
	young map[uint64]*blockEntry
	old   map[uint64]*blockEntry
}

// matches is the result of a lookup: matched blocks by slot.
type matches [maxSlots]uint16

// NewIndex returns an Index of at most maxBlocks blocks.
func NewIndex(maxBlocks int) *Index {
	return &Index{limit: max(2, maxBlocks) / 2, young: map[uint64]*blockEntry{}, old: map[uint64]*blockEntry{}}
}

// Stored records that the upstream at slot holds a block.
func (x *Index) Stored(slot int, block uint64) {
	if !sampled(block) {
		return
	}
	e := x.promote(block)
	e.held.set(slot)
	e.doubtful.clear(slot)
}

// Removed records that the upstream at slot dropped a block.
func (x *Index) Removed(slot int, block uint64) {
	if e := x.find(block); e != nil {
		e.held.clear(slot)
		e.doubtful.clear(slot)
	}
}

// Sent records that a prompt with these blocks was sent to the upstream, which
// will hold them before its cache events say so.
func (x *Index) Sent(slot int, blocks []uint64) {
	for _, b := range blocks {
		x.Stored(slot, b)
	}
}

// Gap records that a number of events of the upstream were lost. Its blocks
// become doubtful when so many removals may be among them that it matters.
func (x *Index) Gap(slot int, lost int64) {
	held := 0
	for _, generation := range []map[uint64]*blockEntry{x.young, x.old} {
		for _, e := range generation {
			if e.held.has(slot) {
				held++
			}
		}
	}
	if float64(lost) < doubtShare*float64(held*(sampleMask+1)) {
		return
	}
	for _, generation := range []map[uint64]*blockEntry{x.young, x.old} {
		for _, e := range generation {
			if e.held.has(slot) {
				e.doubtful.set(slot)
			}
		}
	}
}

// Clear forgets all blocks of the upstream at slot.
func (x *Index) Clear(slot int) {
	for _, generation := range []map[uint64]*blockEntry{x.young, x.old} {
		for block, e := range generation {
			e.held.clear(slot)
			e.doubtful.clear(slot)
			if e.held.empty() {
				delete(generation, block)
			}
		}
	}
}

// Len returns the number of blocks held.
func (x *Index) Len() int { return len(x.young) + len(x.old) }

// match sets out to the number of leading blocks that each slot holds. A
// holder with doubtful blocks among them counts half.
func (x *Index) match(blocks []uint64, out *matches) {
	*out = matches{}
	stride := max(1, len(blocks)/(sampleMask+1)/maxProbes)
	var alive, doubtful slotSet
	for i := range alive {
		alive[i] = ^uint64(0)
	}
	matched, skipped := 0, 0
	for at, b := range blocks {
		if !sampled(b) {
			continue
		}
		if skipped++; skipped < stride {
			continue
		}
		skipped = 0
		var held slotSet
		if e := x.find(b); e != nil {
			held = e.held
			for i := range doubtful {
				doubtful[i] |= e.doubtful[i] & alive[i]
			}
		}
		for i := range alive {
			recordMatches(out, i, alive[i]&^held[i], matched, doubtful[i])
			alive[i] &= held[i]
		}
		if alive.empty() {
			return
		}
		matched = at + 1
	}
	for i := range alive {
		recordMatches(out, i, alive[i], matched, doubtful[i])
	}
}

func recordMatches(out *matches, word int, set uint64, matched int, doubtful uint64) {
	if matched == 0 {
		return
	}
	for set != 0 {
		bit := bits.TrailingZeros64(set)
		set &^= 1 << bit
		n := matched
		if doubtful&(1<<bit) != 0 {
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
