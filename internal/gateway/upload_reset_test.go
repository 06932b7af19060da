package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/gateway"
	"rattantide/internal/membership"
	"rattantide/internal/responsetest"
)

// Guards against a part of a response that looks complete because its connection was reset
// during the upload, to an upstream or to another daemon.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const (
		uploadBytes = 3 << 20
		uploads     = 20
	)
	address := responsetest.ServeReset(t, headUntilClose+ownFields+"\r\npart")
	direct := newFixture(t)
	direct.chooser.upstreams = []membership.Upstream{{Name: "resetting", Address: address}}
	relaying := newLostFixture(t, gateway.Helper{Name: "resetting", Address: address})
	for _, f := range []*fixture{direct, relaying} {
		for _, path := range []string{"/order/1", "/lookup/1"} {
			for range uploads {
				status, body, _, err := f.call(path, strings.Repeat("x", uploadBytes))
				assert.Assert(t, err != nil || status == http.StatusBadGateway, "status %d, body %q", status, body)
			}
		}
	}
}
