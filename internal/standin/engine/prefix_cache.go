package engine

import (
	"container/list"
	"time"

	"rattantide/internal/engineclient"
)

// maxCacheEvents is the maximum number of events that are retained. Older events
// are dropped, which a receiver detects as a gap in the sequence numbers.
const maxCacheEvents = 8192

type cacheEvent struct {
	engineclient.CacheEvent
	at time.Time
}

// prefixCache stores blocks of prompts in order of their last use. It is guarded
// by Engine.mu.
type prefixCache struct {
	blocks      map[uint64]*list.Element
	lru         *list.List
	seq         int64
	events      []cacheEvent
	isEventLost func(seq int64) bool
}

func newPrefixCache(isEventLost func(seq int64) bool) *prefixCache {
	return &prefixCache{blocks: map[uint64]*list.Element{}, lru: list.New(), isEventLost: isEventLost}
}

// tokens returns the memory that the cache uses, in tokens.
func (c *prefixCache) tokens() int { return len(c.blocks) * engineclient.BlockTokens }

// match returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		element, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.lru.MoveToFront(element)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones until the cache uses
// at most limit tokens. It marks the blocks as used from the last one to the
// first, so that a prompt is evicted from its end: the first blocks are the ones
// that most prompts share.
func (c *prefixCache) store(blocks []uint64, limit int, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if element, ok := c.blocks[b]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.recordEvent(engineclient.CacheStored, b, now)
	}
	c.evictTo(limit, now)
}

// evictTo evicts the least recently used blocks until the cache uses at most limit
// tokens.
func (c *prefixCache) evictTo(limit int, now time.Time) {
	for c.tokens() > max(limit, 0) {
		last := c.lru.Back()
		b := c.lru.Remove(last).(uint64)
		delete(c.blocks, b)
		c.recordEvent(engineclient.CacheRemoved, b, now)
	}
}

// recordEvent appends an event, unless a fault selects its number to be lost.
func (c *prefixCache) recordEvent(kind engineclient.CacheEventType, block uint64, now time.Time) {
	c.seq++
	if c.isEventLost(c.seq) {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/4:]...)
	}
	c.events = append(c.events, cacheEvent{
		CacheEvent: engineclient.CacheEvent{Seq: c.seq, Type: kind, Block: engineclient.FormatBlock(block)},
		at:         now,
	})
}

// eventsSince returns the events with a sequence number above seq that happened no
// later than until. A seq above the current number comes from before a crash: the
// result then starts with the first event, which the receiver detects by the
// lower numbers.
func (c *prefixCache) eventsSince(seq int64, until time.Time) engineclient.CacheEvents {
	if seq > c.seq {
		seq = 0
	}
	out := engineclient.CacheEvents{Seq: seq, Events: []engineclient.CacheEvent{}}
	for _, e := range c.events {
		if e.at.After(until) {
			break
		}
		if e.Seq > seq {
			out.Events = append(out.Events, e.CacheEvent)
			out.Seq = e.Seq
		}
	}
	return out
}
