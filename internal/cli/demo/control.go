package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/standin/control"
)

// controlClient is for calls to stand-ins that are not part of the traffic.
var controlClient = &http.Client{Timeout: 10 * time.Second}

// call sends in as JSON and decodes the answer into out; both may be nil.
func call(ctx context.Context, method, address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := controlClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, path, response.Status, content)
	}
	if out == nil || len(content) == 0 {
		return nil
	}
	return errors.Annotate(json.Unmarshal(content, out), path)
}

// logOf returns what a stand-in executed, of one kind of event.
func logOf(ctx context.Context, address, event string) ([]control.Entry, error) {
	var answer struct {
		Entries []control.Entry `json:"entries"`
	}
	err := call(ctx, http.MethodGet, address, "/control/log?event="+event, nil, &answer)
	return answer.Entries, err
}

// notify publishes a reclaim notice.
func (d *demo) notify(ctx context.Context, target reclaim) error {
	return call(ctx, http.MethodPost, d.cloud.Address, "/control/notices", map[string]any{
		"instance": target.instance, "domain": target.domain, "deadlineMs": reclaimNotice.Milliseconds(), "kind": "reclaim",
	}, nil)
}
