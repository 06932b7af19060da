package fleetdaemon

import (
	"testing"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/responsehead"
	"rattantide/internal/responsetest"
)

// Guards against a client of the daemon that accepts responses with invalid heads.
func TestClientsCheckHeads(t *testing.T) {
	responsetest.CheckClient(t, newPeerClient(), responsehead.ErrInvalid)
	responsetest.CheckClient(t, newPlatformClient(tally.NoopScope), responsehead.ErrInvalid)
}
