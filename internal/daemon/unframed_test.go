package daemon

import (
	"io"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/responsetest"
	"rattantide/internal/standin/instances"
)

// Guards against an answer of a service without a length that has not ended when the drain has,
// and looks complete to a caller over TLS.
func TestUnframedAnswerOfStoppedDaemon(t *testing.T) {
	service := responsetest.ServeUnfinished(t, "HTTP/1.1 200 OK\r\n\r\npart")
	list := instances.New()
	list.Set(instances.Instance{Name: "u", Address: service, Domain: "zone-a", Region: "default", Role: "upstream", Pool: "app", Version: "v1", State: "live"})
	certificate, key, client := newCertificate(t)
	d := startDaemon(t, "-name", "a", "-object-api", addressOf(startObjectAPI(t)), "-instance-list", addressOf(responsetest.NewServer(list)),
		"-tls-cert", certificate, "-tls-key", key, "-tls-ca", certificate, "-drain-limit", "100ms")
	putLookupRoute(t, client, "https", d)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+d.settings.Advertise+"/jobs/7", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer token")
	var response *http.Response
	assert.NilError(t, proc.Eventually(t.Context(), waitLimit, nil, func() error {
		if response, err = client.Do(request); err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			_ = response.Body.Close()
			return errors.Errorf("status %d", response.StatusCode)
		}
		return nil
	}))
	defer func() { _ = response.Body.Close() }()
	d.beginDrain(0)
	body, err := io.ReadAll(response.Body)
	assert.Equal(t, string(body), "part")
	assert.Assert(t, err != nil, "the answer looks complete")
}
