package demo

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCallerResumesAtSuccessor guards against reporting an answer as complete
// although tokens are missing or repeated after its stream was resumed.
func TestCallerResumesAtSuccessor(t *testing.T) {
	event := func(n int) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", n, n)
	}
	successor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/v1/requests/q/stream" && r.Header.Get("Last-Event-ID") == "2", "%s", r.URL)
		fmt.Fprint(w, event(3), "data: [DONE]\n\n")
	}))
	defer successor.Close()
	leaving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, event(1), event(2), ": successor "+strings.TrimPrefix(successor.URL, "http://")+"\n\n")
	}))
	defer leaving.Close()
	c := &apiCaller{http: http.DefaultClient, entries: func() []string { return []string{strings.TrimPrefix(leaving.URL, "http://")} }}
	answer, err := c.stream(context.Background(), "", chatRequest{id: "q"})
	assert.NilError(t, err)
	assert.Equal(t, answer.text, "t1 t2 t3 ")
	assert.Equal(t, answer.resumes, 1)
}
