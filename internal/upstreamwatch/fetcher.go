package upstreamwatch

import (
	"context"

	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
)

// Fetcher reads load reports and cache events from upstreams. It is implemented by
// engineclient.Client.
type Fetcher interface {
	Load(ctx context.Context, address string) (*membership.Load, error)
	CacheEvents(ctx context.Context, address string, since int64) (*engineclient.CacheEvents, error)
}

var _ Fetcher = (*engineclient.Client)(nil)
