package objectclient

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against a value that is nested too deeply and hides all other objects in lists, or ends
// each watch.
func TestDeepValueHidesNoObject(t *testing.T) {
	const endOfTest = errors.ConstError("last event seen")
	deep := `{"kind":"k","name":"odd","version":2,"value":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`
	good := `{"kind":"k","name":"good","version":3,"value":1}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/v1/watch"):
			_, _ = io.WriteString(w, `{"type":"put","revision":2,"object":`+deep+"}\n"+`{"type":"put","revision":3,"object":`+good+"}\n")
		case strings.HasSuffix(r.URL.Path, "/odd"):
			_, _ = io.WriteString(w, deep)
		default:
			_, _ = io.WriteString(w, `{"revision":3,"items":[`+deep+`,`+good+`]}`)
		}
	}))
	t.Cleanup(server.Close)
	client := New(Options{Address: server.Listener.Addr().String()})
	list, err := client.List(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, len(list.Items), 2)
	odd, err := client.Get(t.Context(), "k", "odd")
	assert.NilError(t, err)
	assert.Equal(t, odd.Version.Number(), int64(2))
	err = client.Watch(t.Context(), 1, []string{"k"}, func(e Event) error {
		if e.Object.Name == "good" {
			return endOfTest
		}
		return nil
	})
	assert.ErrorIs(t, err, endOfTest)
}
