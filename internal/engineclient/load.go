package engineclient

import (
	"context"
	"net/http"
	"time"

	"rattantide/internal/membership"
)

// Load fetches the load report of an upstream. Plain services provide one too.
func (c *Client) Load(ctx context.Context, address string) (*membership.Load, error) {
	load := &membership.Load{}
	if err := c.callJSON(ctx, http.MethodGet, address, "/v1/load", nil, load); err != nil {
		return nil, err
	}
	load.ReceivedAt = time.Now()
	return load, nil
}
