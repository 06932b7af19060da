package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/client"
)

// application asks for whole answers through the client library.
type application struct {
	client *client.Client
}

func (d *demo) application(token string) (*application, error) {
	c, err := client.New(client.Options{Entries: d.daemonAddresses(), Token: token})
	return &application{client: c}, errors.Trace(err)
}

func (a *application) close() { a.client.Close() }

// whole asks for an answer without streaming.
func (a *application) whole(ctx context.Context, q chat) (*answer, error) {
	began := time.Now()
	response, err := a.client.Do(ctx, client.Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: q.body(false), ID: q.id,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("%s: status %d: %s", q.id, response.Status, response.Body)
	}
	got := &answer{total: time.Since(began)}
	var decoded completion
	if err := json.Unmarshal(response.Body, &decoded); err != nil {
		return nil, errors.Annotate(err, q.id)
	}
	got.add(&decoded)
	return got, nil
}
