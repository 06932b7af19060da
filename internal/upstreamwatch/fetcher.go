package upstreamwatch

import (
	"context"

	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
)

// Fetcher reads load reports and cache events from upstreams. It is implemented by
// engineclient.Client.
type Fetcher interface {
	// Load returns the load report of the upstream at an address.
	Load(ctx context.Context, address string) (*membership.Load, error)
	// CacheEvents returns the cache events with sequence numbers above since.
	CacheEvents(ctx context.Context, address string, since int64) (*engineclient.CacheEvents, error)
}

var _ Fetcher = (*engineclient.Client)(nil)
