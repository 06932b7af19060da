package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/client"
)

// libraryClient sends requests through the client library and receives answers
// that are not streamed.
type libraryClient struct {
	client *client.Client
}

func (d *demo) newLibraryClient(token string) (*libraryClient, error) {
	c, err := client.New(client.Options{Entries: d.daemonAddresses(), Token: token})
	return &libraryClient{client: c}, errors.Trace(err)
}

func (c *libraryClient) close() { c.client.Close() }

// complete sends a chat completion without streaming and returns its answer.
func (c *libraryClient) complete(ctx context.Context, chat chatRequest) (*chatAnswer, error) {
	start := time.Now()
	response, err := c.client.Do(ctx, client.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: chat.body(false), ID: chat.id,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("%s: status %d: %s", chat.id, response.Status, response.Body)
	}
	result := &chatAnswer{total: time.Since(start)}
	var decoded completion
	if err := json.Unmarshal(response.Body, &decoded); err != nil {
		return nil, errors.Annotate(err, chat.id)
	}
	result.add(&decoded)
	return result, nil
}
