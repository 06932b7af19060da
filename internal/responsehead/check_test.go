package responsehead

import (
	"fmt"
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
