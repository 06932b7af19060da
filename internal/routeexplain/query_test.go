package routeexplain

import (
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a query of which only the first invalid field is reported, and against unbounded
// sizes.
func TestParseQueryNamesEachInvalidField(t *testing.T) {
	_, faults := ParseQuery(url.Values{
		"host": {"a b"}, "path": {"v1"}, "workspace": {strings.Repeat("w", maxTextBytes+1)}, "promptTokens": {"-1"},
		"maxTokens": {"1e9"}, "model": {"m"},
	})
	text := strings.Join(faults, "\n")
	for _, name := range []string{"method: ", "host: ", "path: ", "workspace: ", "promptTokens: ", "maxTokens: ", `"model": `} {
		assert.Assert(t, strings.Contains(text, name), "no %q in\n%s", name, text)
	}
	assert.Equal(t, len(faults), 7, text)
}

// Guards against a query that the tool encodes and the daemon does not read.
func TestQueryRoundTrip(t *testing.T) {
	want := Query{Method: "POST", Host: "chat.example", Path: "/v1/x", Workspace: "w", PromptTokens: 9000, MaxTokens: 80}
	got, faults := ParseQuery(want.Values())
	assert.Equal(t, len(faults), 0)
	assert.Equal(t, *got, want)
}
