package engineclient

import (
	"context"
	"net/http"
	"strconv"
)

// CacheEventType tells what happened to a block.
type CacheEventType string

// The types of cache events.
const (
	CacheStored  CacheEventType = "stored"
	CacheRemoved CacheEventType = "removed"
)

// CacheEvent is a change of an engine's prefix cache. Block is the hash of the
// prompt up to the end of the block as FormatBlock writes it.
type CacheEvent struct {
	Seq   int64          `json:"seq"`
	Type  CacheEventType `json:"type"`
	Block string         `json:"block"`
}

// CacheEvents is an answer with cache events. The numbers of events have gaps
// when the engine lost some; a receiver then knows less about the cache.
type CacheEvents struct {
	// Seq is the number to pass as since in the next call. It is lower than the
	// number passed when the engine has lost its cache and counts anew.
	Seq    int64        `json:"seq"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns the cache events after the number since.
func (c *Client) CacheEvents(ctx context.Context, address string, since int64) (*CacheEvents, error) {
	events := &CacheEvents{}
	path := "/v1/cache/events?since=" + strconv.FormatInt(since, 10)
	if err := c.fetch(ctx, http.MethodGet, address, path, nil, events); err != nil {
		return nil, err
	}
	return events, nil
}
