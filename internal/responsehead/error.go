package responsehead

import "github.com/juju/errors"

// ErrInvalid means that the head of a response does not follow the grammar of RFC 9112, exceeds
// MaxBytes with the interim responses before it, or was received before the request was sent. The
// server may have run the request.
const ErrInvalid = errors.ConstError("invalid head of the response")

// invalid returns an error that wraps ErrInvalid. detail is quoted, and cut if it is long.
func invalid(reason string, detail []byte) error {
	const maxDetailBytes = 64
	return errors.Annotatef(ErrInvalid, "%s: %q", reason, detail[:min(len(detail), maxDetailBytes)])
}
