package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/admin"
	"rattantide/internal/routeexplain"
	"rattantide/internal/routing"
)

// Guards against a tool that asks another path or with other fields than a daemon reads, loses a
// term in the table, or calls a daemon with invalid fields.
func TestExplainRoute(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		query, faults := routeexplain.ParseQuery(r.URL.Query())
		if r.Method != http.MethodGet || r.URL.Path != admin.Prefix+routeexplain.Path || len(faults) > 0 || query.PromptTokens != 9000 ||
			r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusTeapot)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(routeexplain.Explanation{
			Route: "chat", Choice: "u2", Admission: routeexplain.Admission{Rule: "admitted"},
			Candidates: []routeexplain.Candidate{
				{Upstream: "u1", Score: 2, Parts: []routing.ScorePart{{Name: "firstToken", Seconds: 0.5}, {Name: "PromptDelay", Seconds: 1.5}}, LoadAgeMs: -1, StateAgeMs: 40},
				{Upstream: "u2", Score: 1, Parts: []routing.ScorePart{{Name: "firstToken", Seconds: 1}, {Name: "PromptDelay"}}, LoadAgeMs: 7, StateAgeMs: -1},
			},
		})
	}))
	defer server.Close()
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		variables := map[string]string{"RATTANTIDE_ADDRESS": server.URL, "RATTANTIDE_OPERATOR_TOKEN": "secret"}
		code := Run(context.Background(), append([]string{"explain", "route"}, args...), Env{
			Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(k string) string { return variables[k] },
		})
		return code, out.String(), errs.String()
	}
	code, stdout, stderr := run("-host", "h", "-prompt-tokens", "9000")
	assert.Equal(t, code, 0, stderr)
	for _, want := range []string{"PromptDelay", "1.5000", "admitted", "40 ms", "7 ms"} {
		assert.Assert(t, strings.Contains(stdout, want), "no %q in\n%s", want, stdout)
	}
	assert.Assert(t, strings.LastIndex(stdout, "u2") < strings.Index(stdout, "u1"), "the best candidate is not first:\n%s", stdout)
	code, stdout, _ = run("-host", "h", "-prompt-tokens", "9000", "-o", "json")
	assert.Equal(t, code, 0)
	var e routeexplain.Explanation
	assert.NilError(t, json.Unmarshal([]byte(stdout), &e))
	assert.Equal(t, len(e.Candidates), 2)
	before := calls
	code, _, stderr = run("-path", "v1", "-max-tokens", "-4")
	assert.Equal(t, code, 2)
	for _, want := range []string{"host: ", "path: ", "maxTokens: "} {
		assert.Assert(t, strings.Contains(stderr, want), stderr)
	}
	assert.Equal(t, calls, before)
}
