package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// rawAnswer is what a caller reads from its connection until that ends or the daemon
// keeps it open for another request.
type rawAnswer struct {
	bytes []byte
	// reset reports whether the connection ended with an error.
	reset bool
	// kept reports whether a second request was answered on the same connection.
	kept bool
}

// callRaw sends a request and returns what arrives on the connection. If the answer has a
// length or chunks, it sends the request once more.
func (f *fixture) callRaw(method, path, proto string) rawAnswer {
	c, err := net.Dial("tcp4", f.address)
	assert.NilError(f.t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(f.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	request := fmt.Sprintf("%s %s %s\r\nHost: host.example\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", method, path, proto)
	_, err = io.WriteString(c, request)
	assert.NilError(f.t, err)
	var seen bytes.Buffer
	reader := bufio.NewReader(io.TeeReader(c, &seen))
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return rawAnswer{bytes: seen.Bytes(), reset: true}
	}
	_, err = io.Copy(io.Discard, response.Body)
	a := rawAnswer{bytes: bytes.Clone(seen.Bytes()), reset: err != nil}
	if err != nil || response.Close {
		return a
	}
	if _, err := io.WriteString(c, request); err != nil {
		return a
	}
	_, err = http.ReadResponse(reader, &http.Request{Method: method})
	a.kept = err == nil
	return a
}

// response decodes the bytes that the caller got.
func (a rawAnswer) response(t *testing.T, method string) (response *http.Response, body string, err error) {
	response, err = http.ReadResponse(bufio.NewReader(bytes.NewReader(a.bytes)), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	defer func() { assert.Check(t, response.Body.Close()) }()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// isFramed reports whether an answer claims to be complete by its length or its chunks.
func (a rawAnswer) isFramed(t *testing.T, method string) bool {
	response, _, err := a.response(t, method)
	return err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
}
