package responsehead

import (
	"net/http"
	"strconv"
	"strings"
)

// checkLength checks that a head says in one way only where the body ends (RFC 9112,
// section 6). The error wraps ErrInvalid.
func checkLength(start statusLine, fields lengthFields) error {
	hasBody := !start.isInterim() && start.status != http.StatusNoContent
	switch {
	case len(fields.encodings) == 0:
	case len(fields.encodings) > 1 || !strings.EqualFold(fields.encodings[0], "chunked"):
		return invalid("Transfer-Encoding", []byte(strings.Join(fields.encodings, ", ")))
	case start.minorVersion == 0:
		return invalid("Transfer-Encoding in HTTP/1.0", []byte(fields.encodings[0]))
	case len(fields.lengths) > 0:
		return invalid("Content-Length beside Transfer-Encoding", []byte(fields.lengths[0]))
	case !hasBody:
		return invalid("Transfer-Encoding of a response without a body", []byte(fields.encodings[0]))
	}
	for _, text := range fields.lengths {
		length, err := strconv.ParseUint(text, 10, 63)
		if err != nil || text != fields.lengths[0] || !hasBody && length > 0 {
			return invalid("Content-Length", []byte(strings.Join(fields.lengths, ", ")))
		}
	}
	return nil
}
