package engineclient_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/engineclient"
	"rattantide/internal/responsehead"
	"rattantide/internal/responsetest"
)

// Guards against a load report or the result of an order that is taken from a response with an
// invalid head, and against an order that is said not to have run after one.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	client := engineclient.New(nil)
	defer client.CloseIdleConnections()
	for name, r := range responsetest.Invalid("{}") {
		t.Run(name, func(t *testing.T) {
			address := responsetest.ServeText(t, r.Text(""))
			_, err := client.Load(t.Context(), address)
			assert.ErrorIs(t, err, responsehead.ErrInvalid)
			_, err = client.Order(t.Context(), address, engineclient.Order{Fence: 1, ID: "o"})
			assert.ErrorIs(t, err, responsehead.ErrInvalid)
			var failure *engineclient.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Assert(t, !failure.NotRun)
		})
	}
}
