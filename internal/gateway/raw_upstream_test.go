package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"rattantide/internal/responsetest"
)

// rawUpstream answers every request with the same bytes and closes the connection.
type rawUpstream struct {
	// head is the status line and the headers, without the empty line; the identifier of
	// the attempt and a signature are added.
	head string
	body string
	// exact is sent in place of all these bytes unless it is empty.
	exact string
	// reset makes it reset the connection instead of closing it.
	reset bool
}

// serve starts the upstream and returns its address.
func (u rawUpstream) serve(t *testing.T) string {
	return responsetest.Serve(t, u.answer)
}

func (u rawUpstream) answer(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	text := u.exact
	if text == "" {
		text = u.head + "X-Attempt-Id: " + request.Header.Get("X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n\r\n" + u.body
	}
	_, _ = io.WriteString(c, text)
	if u.reset {
		responsetest.ResetOnceReceived(c)
	}
}
