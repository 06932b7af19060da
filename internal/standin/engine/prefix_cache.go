package engine

import (
	"container/list"
	"time"

	"rattantide/internal/engineclient"
)

// maxCacheEvents bounds the events kept; older ones are gone, which a receiver
// sees as a gap.
const maxCacheEvents = 8192

type cacheEvent struct {
	engineclient.CacheEvent
	at time.Time
}

// prefixCache holds blocks of prompts in order of their last use. It is
// guarded by the engine's mutex.
type prefixCache struct {
	blocks map[uint64]*list.Element
	order  *list.List
	seq    int64
	events []cacheEvent
	gap    func(seq int64) bool
}

func newPrefixCache(gap func(seq int64) bool) *prefixCache {
	return &prefixCache{blocks: map[uint64]*list.Element{}, order: list.New(), gap: gap}
}

// tokens returns the memory that the cache takes.
func (c *prefixCache) tokens() int { return len(c.blocks) * engineclient.BlockTokens }

// match returns how many leading blocks are held and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		held, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(held)
	}
	return len(blocks)
}

// store adds blocks and evicts the least recently used ones above limit tokens.
// The first blocks of a prompt are shared most and are used last here, so that
// a prompt is evicted from its end.
func (c *prefixCache) store(blocks []uint64, limit int, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if held, ok := c.blocks[b]; ok {
			c.order.MoveToFront(held)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.report(engineclient.CacheStored, b, now)
	}
	c.shrink(limit, now)
}

// shrink evicts blocks until the cache takes at most limit tokens.
func (c *prefixCache) shrink(limit int, now time.Time) {
	for c.tokens() > max(limit, 0) {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.blocks, b)
		c.report(engineclient.CacheRemoved, b, now)
	}
}

func (c *prefixCache) report(kind engineclient.CacheEventType, block uint64, now time.Time) {
	c.seq++
	if c.gap(c.seq) {
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

// since returns the events after a number that happened until a time. A number
// that was not reached yet is from before a crash; the answer then starts anew,
// which the receiver sees by its lower numbers.
func (c *prefixCache) since(seq int64, until time.Time) engineclient.CacheEvents {
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
