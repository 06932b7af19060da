package upstreamconn

import (
	"io"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

// fetch makes one request to an upstream that sends a text, and returns the body.
func fetch(t *testing.T, pools *Pools, address string) (body string, err error) {
	response, err := pools.Do(t.Context(), address, 0, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	assert.Check(t, response.Body.Close())
	return string(content), err
}

// Guards against a response with an invalid head that is passed on, and against a connection
// that stays open after it.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for name, r := range responsetest.Invalid("false") {
		t.Run(name, func(t *testing.T) {
			pools := &Pools{}
			defer pools.Close()
			address := responsetest.ServeText(t, r.Text(""))
			_, err := fetch(t, pools, address)
			var failure *Error
			assert.Assert(t, errors.As(err, &failure), "error %v", err)
			assert.Assert(t, failure.Sent)
			assert.Equal(t, pools.pools[address].openCount, 0)
		})
	}
}

// Guards against a response with an unusual head that is rejected.
func TestUnusualHeadIsAccepted(t *testing.T) {
	for name, r := range responsetest.Sound("whole") {
		t.Run(name, func(t *testing.T) {
			pools := &Pools{}
			defer pools.Close()
			body, err := fetch(t, pools, responsetest.ServeText(t, r.Text("")))
			assert.NilError(t, err)
			assert.Equal(t, body, "whole")
		})
	}
}
