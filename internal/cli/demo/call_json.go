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

// controlClient makes the calls that are not part of the traffic.
var controlClient = &http.Client{Timeout: 10 * time.Second}

// callJSON sends in as JSON and decodes the response into out; both may be nil.
func callJSON(ctx context.Context, method, address, path string, in, out any) error {
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

// executionLog returns the entries of a stand-in's log that have the given event.
func executionLog(ctx context.Context, address, event string) ([]control.Entry, error) {
	var answer struct {
		Entries []control.Entry `json:"entries"`
	}
	err := callJSON(ctx, http.MethodGet, address, "/control/log?event="+event, nil, &answer)
	return answer.Entries, err
}

// publishNotice makes the cloud API publish a reclaim notice for target.
func (d *demo) publishNotice(ctx context.Context, target reclaimTarget) error {
	return callJSON(ctx, http.MethodPost, d.cloud.Address, "/control/notices", map[string]any{
		"instance": target.instance, "domain": target.domain, "deadlineMs": reclaimNotice.Milliseconds(), "kind": "reclaim",
	}, nil)
}
