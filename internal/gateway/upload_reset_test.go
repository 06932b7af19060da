package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/responsetest"
)

// Guards against a part of a response that looks complete because its connection was reset
// during the upload.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const (
		uploadBytes = 3 << 20
		uploads     = 20
	)
	f := newFixture(t)
	address := responsetest.ServeReset(t, headUntilClose+ownFields+"\r\npart")
	f.chooser.upstreams = []membership.Upstream{{Name: "resetting", Address: address}}
	for _, path := range []string{"/order/1", "/lookup/1"} {
		for range uploads {
			status, body, _, err := f.call(path, strings.Repeat("x", uploadBytes))
			assert.Assert(t, err != nil || status == http.StatusBadGateway, "status %d, body %q", status, body)
		}
	}
}
