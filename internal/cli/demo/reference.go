package demo

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
)

// referenceAnswer returns the text that a version generates for a request. It
// calls an engine directly, so that answers can be compared byte for byte.
func (d *demo) referenceAnswer(ctx context.Context, version string, chat chatRequest) (string, error) {
	for _, address := range d.engineAddresses() {
		var load struct{ Version string }
		if err := callJSON(ctx, http.MethodGet, address, "/v1/load", nil, &load); err != nil || load.Version != version {
			continue
		}
		var answer completion
		if err := callJSON(ctx, http.MethodPost, address, "/v1/chat/completions", json.RawMessage(chat.body(false)), &answer); err != nil {
			return "", err
		}
		if len(answer.Choices) != 1 {
			return "", errors.New("the engine returned no answer")
		}
		return answer.Choices[0].Message.Content, nil
	}
	return "", errors.Errorf("no engine has version %s", version)
}

// chatPoolVersion returns the version in the object of the chat pool.
func (d *demo) chatPoolVersion(ctx context.Context) (string, error) {
	result, err := d.runTool(ctx, "", "get", "pool", "briefs", "-o", "json")
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
