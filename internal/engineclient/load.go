package engineclient

import (
	"context"
	"net/http"
	"time"

	"rattantide/internal/membership"
)

// Load asks an upstream for its load report. Plain services answer it too.
func (c *Client) Load(ctx context.Context, address string) (*membership.Load, error) {
	load := &membership.Load{}
	if err := c.fetch(ctx, http.MethodGet, address, "/v1/load", nil, load); err != nil {
		return nil, err
	}
	load.ReceivedAt = time.Now()
	return load, nil
}
