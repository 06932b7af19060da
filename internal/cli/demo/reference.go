package demo

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// reference returns the text that a version gives for a request, straight from
// an engine, so that answers can be compared byte for byte.
func (d *demo) reference(ctx context.Context, version string, q chat) (string, error) {
	for _, address := range d.engineAddresses() {
		var load struct{ Version string }
		if err := call(ctx, http.MethodGet, address, "/v1/load", nil, &load); err != nil || load.Version != version {
			continue
		}
		var answer completion
		if err := call(ctx, http.MethodPost, address, "/v1/chat/completions", json.RawMessage(q.body(false)), &answer); err != nil {
			return "", err
		}
		if len(answer.Choices) != 1 {
			return "", errors.New("the engine gave no answer")
		}
		return answer.Choices[0].Message.Content, nil
	}
	return "", errors.Errorf("no engine has version %s", version)
}

// effective returns the version in effect of the chat pool, as engines know it.
func (d *demo) effective(ctx context.Context) (string, error) {
	result, err := d.tool(ctx, "", "get", "pool", "briefs", "-o", "json")
	if err != nil {
		return "", err
	}
	if err := result.check(toolOK); err != nil {
		return "", err
	}
	var object struct {
		Spec struct{ Version string }
	}
	err = json.Unmarshal([]byte(result.stdout), &object)
	return object.Spec.Version, errors.Trace(err)
}
