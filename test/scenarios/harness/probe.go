package harness

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// probe sends a chat of one token to a model, or a GET to a path, and returns
// the status.
func probe(address, target string) (string, error) {
	method, path, body := http.MethodGet, target, ""
	if !strings.HasPrefix(target, "/") {
		method, path = http.MethodPost, "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`, target)
	}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+workspaceToken)
	res, err := control.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return strconv.Itoa(res.StatusCode), nil
}
