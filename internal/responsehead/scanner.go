package responsehead

import (
	"bytes"

	"github.com/juju/errors"
)

// scanner finds and checks heads in bytes of which more and more are received.
type scanner struct {
	// headAt is where the current head begins, lineAt where its first incomplete line does.
	headAt, lineAt int
}

// scan reports whether text, which begins with the text of earlier calls, has the complete head
// of a final response. All heads up to that one are checked.
func (s *scanner) scan(text []byte) (complete bool, err error) {
	for {
		length := bytes.IndexByte(text[s.lineAt:], '\n')
		isIncomplete := length < 0
		if isIncomplete && len(text) < MaxBytes {
			return false, nil
		}
		if isIncomplete || s.lineAt+length >= MaxBytes {
			return false, errors.Annotate(ErrInvalid, "more than 64 KiB")
		}
		line := text[s.lineAt : s.lineAt+length]
		s.lineAt += length + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) > 0 {
			continue
		}
		start, err := check(text[s.headAt:s.lineAt])
		if err != nil {
			return false, err
		}
		s.headAt = s.lineAt
		if !start.isInterim() {
			return true, nil
		}
	}
}
