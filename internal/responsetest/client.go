package responsetest

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// CheckClient checks that a client fails with invalid for each of the responses of Invalid and
// returns those of Sound.
func CheckClient(t *testing.T, client *http.Client, invalid error) {
	t.Helper()
	t.Cleanup(client.CloseIdleConnections)
	for name, r := range Invalid("{}") {
		response, err := client.Get("http://" + ServeText(t, r.Text("")))
		if err == nil {
			assert.Check(t, response.Body.Close())
		}
		assert.ErrorIs(t, err, invalid, name)
	}
	for name, r := range Sound("{}") {
		response, err := client.Get("http://" + ServeText(t, r.Text("")))
		assert.NilError(t, err, name)
		assert.Check(t, response.Body.Close())
	}
}
