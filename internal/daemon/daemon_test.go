package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/settings"
	"rattantide/internal/standin/objectapi"
	"rattantide/internal/telemetry"
)

const waitLimit = 10 * time.Second

// startDaemon runs a daemon until the test ends.
func startDaemon(t *testing.T, args ...string) *Daemon {
	t.Helper()
	return startDaemonWith(t, func(*Daemon) {}, args...)
}

// startDaemonWith is startDaemon, and calls prepare before the daemon runs.
func startDaemonWith(t *testing.T, prepare func(*Daemon), args ...string) *Daemon {
	t.Helper()
	args = append([]string{"-domain", "zone-a", "-listen", "127.0.0.1:0", "-peer-token", "peer",
		"-operator-token", "operator", "-entry-ttl", "1s"}, args...)
	s, err := settings.Parse(args, io.Discard)
	assert.NilError(t, err)
	d, err := New(s, telemetry.Discard())
	assert.NilError(t, err)
	prepare(d)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return d
}

func startObjectAPI(t *testing.T) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(objectapi.New(objectapi.Config{}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func send(t *testing.T, client *http.Client, method, url, token, body string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// Guards against serving an administration, peer or profile call without its
// token or with a wrong one.
func TestControlNeedsToken(t *testing.T) {
	d := startDaemon(t, "-name", "a", "-object-api", addressOf(startObjectAPI(t)))
	base := "http://" + d.settings.Advertise
	for path, right := range map[string]string{
		"/admin/v1/status": "operator", "/peer/v1/snapshot": "peer", "/debug/pprof/heap": "operator",
	} {
		assert.Equal(t, send(t, http.DefaultClient, http.MethodGet, base+path, right, ""), http.StatusOK, path)
		for _, wrong := range []string{"", "operato", "operator2", map[string]string{"operator": "peer", "peer": "operator"}[right]} {
			assert.Equal(t, send(t, http.DefaultClient, http.MethodGet, base+path, wrong, ""), http.StatusUnauthorized, "%s with %q", path, wrong)
		}
	}
}

// Guards against peers that cannot reach each other over TLS, and against a
// daemon that cannot start without the object API.
func TestStartInOutageOverTLS(t *testing.T) {
	certificate, key, client := newCertificate(t)
	api := startObjectAPI(t)
	secure := []string{"-object-api", addressOf(api), "-tls-cert", certificate, "-tls-key", key, "-tls-ca", certificate}
	a := startDaemon(t, append(secure, "-name", "a")...)
	<-a.syncer.Ready()
	class := `{"kind":"Class","name":"chat","spec":{"target":{"answer":"1s"}}}`
	status := send(t, client, http.MethodPut, "https://"+a.settings.Advertise+"/admin/v1/objects/Class/chat", "operator", class)
	assert.Equal(t, status/100, 2)
	assert.Equal(t, send(t, http.DefaultClient, http.MethodPost, api.URL+"/control/faults", "", `{"outage":true}`), http.StatusOK)

	b := startDaemon(t, append(secure, "-name", "b", "-peers", a.settings.Advertise)...)
	select {
	case <-b.syncer.Ready():
	case <-time.After(waitLimit):
		t.Fatal("daemon received no configuration from its peer")
	}
	assert.Assert(t, b.cache.Snapshot().Classes["chat"] != nil)
}

// newCertificate writes a self-signed certificate for the loopback address. It
// returns the paths of its files and a client that trusts it.
func newCertificate(t *testing.T) (certificate, key string, client *http.Client) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	assert.NilError(t, err)
	encoded, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	dir := t.TempDir()
	certificate, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for file, block := range map[string]*pem.Block{
		certificate: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: encoded},
	} {
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
	transport, err := newTransport(&settings.Settings{TLSCA: certificate})
	assert.NilError(t, err)
	return certificate, key, &http.Client{Transport: transport}
}
