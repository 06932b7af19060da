package engineclient

import (
	"context"
	"net/http"
	"net/url"

	"github.com/juju/errors"
)

// maxKVState bounds an exported generation. A long prompt's cache is large.
const maxKVState = 256 << 20

// Export stops a generation and returns its state with the KV cache, to be
// imported by another engine. The content is opaque. Until it is cancelled or
// its grace time is over, the generation can still be resumed where it was.
func (c *Client) Export(ctx context.Context, address, requestID string) ([]byte, error) {
	answer, err := c.call(ctx, c.using(address), http.MethodPost, address, "/v1/requests/"+url.PathEscape(requestID)+"/export", nil, nil)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	state, err := readAll(answer, maxKVState)
	if err != nil {
		return nil, &Error{Status: http.StatusOK, Err: errors.Trace(err)}
	}
	return state, nil
}

// Import hands an exported generation to another engine. It continues there
// and is resumed with Client.Stream.
func (c *Client) Import(ctx context.Context, address string, state []byte) error {
	return c.fetch(ctx, http.MethodPost, address, "/v1/requests/import", state, nil)
}
