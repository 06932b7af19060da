package responsehead

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

const soundText = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// newClient returns a client whose connections are kept.
func newClient(t *testing.T, base *http.Transport) *http.Client {
	transport := NewTransport(base)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// fetch makes a call and returns the body of the response.
func fetch(client *http.Client, method, url string) (string, error) {
	var content io.Reader
	if method != http.MethodGet {
		content = strings.NewReader("a body")
	}
	request, err := http.NewRequest(method, url, content)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return string(received), err
}

// serveTexts answers the requests of each connection with texts in turn, and counts them.
func serveTexts(t *testing.T, texts ...string) (url string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	address := responsetest.Serve(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for _, text := range texts {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			requests.Add(1)
			_, _ = io.WriteString(c, text)
		}
	})
	return "http://" + address, requests
}

// Guards against an invalid head that is returned on a new or a kept connection, and against a
// request that is sent again after one.
func TestTransportRejectsInvalidHeads(t *testing.T) {
	for name, response := range responsetest.Invalid("false") {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				client := newClient(t, &http.Transport{})
				url, requests := serveTexts(t, soundText, response.Text(""))
				body, err := fetch(client, method, url)
				assert.NilError(t, err)
				assert.Equal(t, body, "whole")
				_, err = fetch(client, method, url)
				assert.ErrorIs(t, err, ErrInvalid)
				assert.Equal(t, requests.Load(), int64(2))
				url, _ = serveTexts(t, response.Text(""))
				_, err = fetch(client, method, url)
				assert.ErrorIs(t, err, ErrInvalid)
			})
		}
	}
}

// Guards against bytes after a response that are taken for the response to the next request.
func TestSurplusBytesAreNoResponse(t *testing.T) {
	const calls = 200
	for name, text := range map[string]string{
		"body":    soundText,
		"no body": "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t, &http.Transport{})
			url, _ := serveTexts(t, text+strings.Replace(soundText, "whole", "stale", 1), text)
			for range calls {
				body, err := fetch(client, http.MethodPost, url)
				assert.Assert(t, err != nil || body != "stale")
			}
		})
	}
}

// Guards against responses that are mixed up or rejected while many calls share connections. A
// connection is free for the next call before a call returns a response without a body.
func TestTransportServesCallsSideBySide(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	t.Cleanup(server.Close)
	client := newClient(t, &http.Transport{MaxIdleConnsPerHost: 4})
	const callers, callsPerCaller = 16, 200
	var group errgroup.Group
	for caller := range callers {
		path := strings.Repeat("x", caller/2)
		if path != "" {
			path = "/" + path
		}
		group.Go(func() error {
			for range callsPerCaller {
				body, err := fetch(client, http.MethodGet, server.URL+path)
				if err != nil {
					return err
				}
				if body != path {
					return errors.Errorf("%s: body %q", path, body)
				}
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
}

// Guards against TLS connections that are not checked, or not verified.
func TestTransportChecksOverTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			_, _ = io.WriteString(w, "whole")
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\n\r\n")
		_ = c.Close()
	}))
	server.EnableHTTP2 = true
	server.StartTLS()
	t.Cleanup(server.Close)
	trusting := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	client := newClient(t, &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusting, MinVersion: tls.VersionTLS12}})
	body, err := fetch(client, http.MethodGet, server.URL+"/sound")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	_, err = fetch(client, http.MethodGet, server.URL+"/invalid")
	assert.ErrorIs(t, err, ErrInvalid)
	_, err = fetch(newClient(t, &http.Transport{}), http.MethodGet, server.URL+"/sound")
	var unverified *tls.CertificateVerificationError
	assert.Assert(t, errors.As(err, &unverified), "error %v", err)
}

// Guards against a call that goes on after its context has ended.
func TestCanceledCallEnds(t *testing.T) {
	client := newClient(t, &http.Transport{})
	received := make(chan struct{})
	address := responsetest.Serve(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200")
		close(received)
		_, _ = io.Copy(io.Discard, c)
	})
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	assert.NilError(t, err)
	go func() {
		<-received
		cancel()
	}()
	_, err = client.Do(request) //nolint:bodyclose // there is no response
	assert.ErrorIs(t, err, context.Canceled)
}
