package engineclient

import (
	"context"
	"net/http"
	"strconv"
)

// CacheEventType is the kind of change to a block.
type CacheEventType string

// Types of cache events.
const (
	CacheStored  CacheEventType = "stored"
	CacheRemoved CacheEventType = "removed"
)

// CacheEvent is a change of an engine's prefix cache. Block is the hash of the
// prompt up to the end of the block, as encoded by FormatBlock.
type CacheEvent struct {
	Seq   int64          `json:"seq"`
	Type  CacheEventType `json:"type"`
	Block string         `json:"block"`
}

// CacheEvents is a batch of cache events. A gap in the event numbers means that the
// engine dropped events, so the receiver's view of the cache is incomplete.
type CacheEvents struct {
	// Seq is the number to pass as since in the next call. A number lower than
	// the one passed means that the engine lost its cache and restarted its
	// numbering.
	Seq    int64        `json:"seq"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns the cache events with numbers greater than since.
func (c *Client) CacheEvents(ctx context.Context, address string, since int64) (*CacheEvents, error) {
	events := &CacheEvents{}
	path := "/v1/cache/events?since=" + strconv.FormatInt(since, 10)
	if err := c.callJSON(ctx, http.MethodGet, address, path, nil, events); err != nil {
		return nil, err
	}
	return events, nil
}
