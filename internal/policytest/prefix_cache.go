package policytest

import (
	"container/list"

	"rattantide/internal/routing"
)

// prefixCache holds the most recently used blocks of an engine and logs its
// changes as cache events.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
	log    []routing.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// match returns how many leading blocks are held.
func (c *prefixCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// store makes blocks the most recently used ones, the first block last, since
// the start of a prefix is shared most.
func (c *prefixCache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.report(true, b)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.blocks, b)
		c.report(false, b)
	}
}

func (c *prefixCache) report(stored bool, block uint64) {
	c.log = append(c.log, routing.CacheEvent{Seq: int64(len(c.log) + 1), Stored: stored, Block: block})
}
