package daemon

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/responsehead"
	"rattantide/internal/responsetest"
	"rattantide/internal/settings"
)

// Guards against a client of the daemon that accepts responses with invalid heads.
func TestClientsCheckHeads(t *testing.T) {
	transport, err := newTransport(&settings.Settings{})
	assert.NilError(t, err)
	responsetest.CheckClient(t, newPeerClient(transport), responsehead.ErrInvalid)
	responsetest.CheckClient(t, newStoreClient(transport, tally.NoopScope), responsehead.ErrInvalid)
}
