package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// probes is how many chats tell the versions in use. At a share of 20% all of
// them miss the new version once in 86 times.
const probes = 20

// probe sends a chat of one token to a model, or a GET to a path, and returns
// the status.
func probe(address, target string) (string, error) {
	status, _, err := probeOnce(address, target)
	return strconv.Itoa(status), err
}

// probeVersions returns the versions that answer, separated by commas.
func probeVersions(address, model string) (string, error) {
	var found []string
	for range probes {
		status, body, err := probeOnce(address, model)
		if err != nil {
			return "", err
		}
		var got chunk
		if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
			return "", fmt.Errorf("status %d", status)
		}
		if !slices.Contains(found, got.Fingerprint) {
			found = append(found, got.Fingerprint)
		}
	}
	slices.Sort(found)
	return strings.Join(found, ","), nil
}

func probeOnce(address, target string) (int, []byte, error) {
	method, path, body := http.MethodGet, target, ""
	if !strings.HasPrefix(target, "/") {
		method, path = http.MethodPost, "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`, target)
	}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+workspaceToken)
	res, err := control.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return res.StatusCode, answer, err
}
