package engineclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"
)

// Cancel ends a generation and frees its place in the engine. A request that
// the engine does not have is not an error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	err := c.fetch(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
	if errors.Is(err, ErrUnknownRequest) {
		return nil
	}
	return err
}
