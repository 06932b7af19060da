package engineclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"
)

// Cancel ends a generation and frees its slot in the engine. It succeeds if the
// engine does not have the request.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	err := c.callJSON(ctx, http.MethodDelete, address, "/v1/requests/"+url.PathEscape(requestID), nil, nil)
	if errors.Is(err, ErrUnknownRequest) {
		return nil
	}
	return err
}
