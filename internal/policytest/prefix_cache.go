package policytest

import (
	"container/list"

	"rattantide/internal/routing"
)

// prefixCache simulates the prefix cache of an engine. It holds the most recently used
// blocks and records each change as a cache event.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	lru       *list.List
	log       []routing.CacheEvent
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// matchLength returns the number of leading blocks that are cached.
func (c *prefixCache) matchLength(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// store adds blocks or marks them as used, and evicts the least recently used ones. It
// touches the first block last, because the start of a prefix is shared most often and
// should be evicted last.
func (c *prefixCache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.blocks[b]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.appendEvent(true, b)
	}
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		b := c.lru.Remove(last).(uint64)
		delete(c.blocks, b)
		c.appendEvent(false, b)
	}
}

func (c *prefixCache) appendEvent(stored bool, block uint64) {
	c.log = append(c.log, routing.CacheEvent{Seq: int64(len(c.log) + 1), Stored: stored, Block: block})
}
