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

// probeCount is the number of chats that probeVersions sends. At a share of 20% for
// the new version, all of them miss it with a probability of 1 in 86.
const probeCount = 20

// probeStatus sends a one-token chat to a model, or a GET request to a path, and
// returns the HTTP status.
func probeStatus(address, target string) (string, error) {
	status, _, err := sendProbe(address, target)
	return strconv.Itoa(status), err
}

// probeVersions sends probeCount one-token chats and returns the versions that
// answered them, sorted and separated by commas.
func probeVersions(address, model string) (string, error) {
	var versions []string
	for range probeCount {
		status, body, err := sendProbe(address, model)
		if err != nil {
			return "", err
		}
		var got chunk
		if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
			return "", fmt.Errorf("a probe got status %d or an invalid body", status)
		}
		if !slices.Contains(versions, got.Fingerprint) {
			versions = append(versions, got.Fingerprint)
		}
	}
	slices.Sort(versions)
	return strings.Join(versions, ","), nil
}

// sendProbe sends one probe and returns the status and the body of the response. A
// target with a leading slash is a path, any other one a model.
func sendProbe(address, target string) (int, []byte, error) {
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
	res, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	return res.StatusCode, answer, err
}
