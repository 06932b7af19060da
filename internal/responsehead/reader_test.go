package responsehead

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

// pieces is a connection on which a text arrives in pieces of a size.
type pieces struct {
	text string
	size int
}

// Read implements io.Reader.
func (p *pieces) Read(into []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(into, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// read returns what a Reader passes on of a text that arrives in pieces.
func read(text string, size int) (passed string, rejected, err error) {
	r := NewReader(&pieces{text: text, size: size})
	r.Expect()
	content, err := io.ReadAll(r)
	return string(content), r.Rejected(), err
}

var pieceSizes = []int{1, 2, 3, 7, 64, 4096}

// Guards against a head that is only checked if it arrives in one piece.
func TestInvalidHeadsArePassedOnInNoPieces(t *testing.T) {
	for name, response := range responsetest.Invalid("false") {
		for _, size := range pieceSizes {
			passed, rejected, err := read(response.Text(""), size)
			assert.ErrorIs(t, err, ErrInvalid, name)
			assert.ErrorIs(t, rejected, ErrInvalid, name)
			assert.Equal(t, len(passed), 1, name)
		}
	}
}

// Guards against bytes of a valid response that are lost or changed.
func TestSoundHeadsArePassedOn(t *testing.T) {
	for name, response := range responsetest.Sound("whole") {
		for _, size := range pieceSizes {
			passed, rejected, err := read(response.Text(""), size)
			assert.NilError(t, err, name)
			assert.NilError(t, rejected, name)
			assert.Equal(t, passed, response.Text(""), name)
		}
	}
}

// Guards against an incomplete head that is taken for an invalid one or passed on.
func TestIncompleteHeadEndsAsItsConnection(t *testing.T) {
	head := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	for length := range len(head) {
		passed, rejected, err := read(head[:length], 4096)
		assert.NilError(t, err)
		assert.NilError(t, rejected)
		assert.Assert(t, len(passed) <= 1, "%q", passed)
	}
}

// Guards against a body that is checked as a head, and a second response that is not.
func TestEveryExpectedHeadIsChecked(t *testing.T) {
	source := &bytes.Buffer{}
	r := NewReader(source)
	buf := make([]byte, 4096)
	for range 2 {
		source.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n")
		head := r.Expect()
		assert.Assert(t, !r.HasReceived(head))
		_, err := r.Read(buf)
		assert.NilError(t, err)
		assert.Assert(t, r.HasReceived(head))
		source.WriteString("HTTP/1.1 000 \r\nX Y: Z")
		n, err := r.Read(buf)
		assert.NilError(t, err)
		assert.Equal(t, string(buf[:n]), "HTTP/1.1 000 \r\nX Y: Z")
	}
	source.WriteString("HTTP/1.1 000 \r\n\r\n")
	r.Expect()
	_, _ = r.Read(buf)
	assert.ErrorIs(t, r.Rejected(), ErrInvalid)
}

// Guards against heads without an end that are held.
func TestHeldBytesAreBounded(t *testing.T) {
	for name, repeated := range map[string]string{
		"one line":          "x",
		"fields":            "X-A: b\r\n",
		"interim responses": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		begin := "HTTP/1.1 200 OK\r\n"
		if strings.HasPrefix(repeated, "HTTP") {
			begin = ""
		}
		passed, rejected, _ := read(begin+strings.Repeat(repeated, 2*MaxBytes/len(repeated)), 4096)
		assert.ErrorIs(t, rejected, ErrInvalid, name)
		assert.Assert(t, len(passed) <= 1, name)
	}
}
