package responsehead

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a status that no final response may have, and one that is rejected although
// it may.
func TestEveryStatus(t *testing.T) {
	for status := range 1000 {
		line, err := parseStatusLine(fmt.Appendf(nil, "HTTP/1.1 %03d x", status))
		isValid := status >= 100 && status < 600 && status != 101
		assert.Equal(t, err == nil, isValid, "status %d", status)
		if isValid {
			assert.Equal(t, line.status, status)
			assert.Equal(t, line.isInterim(), status < 200)
		}
	}
}

// Guards against an octet in a name or a value that RFC 9110, section 5.6.2 and 5.5, does not
// allow, and one that is rejected although they do.
func TestEveryOctetOfFields(t *testing.T) {
	const digits, letters = "0123456789", "abcdefghijklmnopqrstuvwxyz"
	tokens := "!#$%&'*+-.^_`|~" + digits + letters + strings.ToUpper(letters)
	for octet := range 256 {
		c := string([]byte{byte(octet)})
		// After a colon in the name, the rest is the value.
		inName := c == ":" || octet < 0x80 && strings.Contains(tokens, c)
		_, _, err := parseField([]byte("X-" + c + "A: b"))
		assert.Equal(t, err == nil, inName, "%q in a name", c)
		inValue := c == "\t" || octet >= ' ' && octet != 0x7f
		_, _, err = parseField([]byte("X-A: a" + c + "b"))
		assert.Equal(t, err == nil, inValue, "%q in a value", c)
	}
}
