package engineclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/juju/errors"
)

// maxKVStateBytes bounds an exported generation. The KV cache of a long prompt is
// large.
const maxKVStateBytes = 256 << 20

// Export stops a generation and returns its state with the KV cache, for another
// engine to import. The content is opaque. The generation can still be resumed at
// the exporting engine until it is cancelled or its grace period ends.
func (c *Client) Export(ctx context.Context, address, requestID string) ([]byte, error) {
	response, err := c.call(ctx, c.httpClientFor(address), http.MethodPost, address, "/v1/requests/"+url.PathEscape(requestID)+"/export", nil, nil)
	if err != nil {
		return nil, err
	}
	defer response.Close()
	state, err := readAll(response, maxKVStateBytes)
	if err != nil {
		return nil, &Error{Status: http.StatusOK, Err: errors.Trace(err)}
	}
	return state, nil
}

// Import sends an exported generation to another engine, where it continues. Use
// Client.Stream to resume its events there.
func (c *Client) Import(ctx context.Context, address string, state []byte) error {
	return c.callJSON(ctx, http.MethodPost, address, "/v1/requests/import", state, nil)
}
