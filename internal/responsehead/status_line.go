package responsehead

import (
	"bytes"
	"net/http"
)

const (
	// minFinalStatus is the lowest status of a final response, and maxStatus the highest of all
	// (RFC 9110, section 15).
	minFinalStatus = 200
	maxStatus      = 599
)

// IsFinalStatus reports whether a final response may have a status.
func IsFinalStatus(status int) bool { return minFinalStatus <= status && status <= maxStatus }

// statusLine is a decoded status line.
type statusLine struct {
	// minorVersion is the second digit of the version; the first is 1.
	minorVersion byte
	status       int
}

// isInterim reports whether another head follows on the same connection.
func (s statusLine) isInterim() bool { return s.status < minFinalStatus }

// parseStatusLine decodes a status line: the version, a space, the status, and the reason after
// another space.
func parseStatusLine(line []byte) (statusLine, error) {
	const prefix = "HTTP/1."
	const statusAt = len(prefix + "1 ")
	const reasonAt = statusAt + len("200")
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(prefix)) || !isDigit(line[len(prefix)]) || line[statusAt-1] != ' ' {
		return statusLine{}, invalid("status line", line)
	}
	s := statusLine{minorVersion: line[len(prefix)] - '0'}
	for _, c := range line[statusAt:reasonAt] {
		if !isDigit(c) {
			return statusLine{}, invalid("status line", line)
		}
		s.status = 10*s.status + int(c-'0')
	}
	reason := line[reasonAt:]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) {
		return statusLine{}, invalid("reason", line)
	}
	// No request asks for another protocol, so the bytes after a status 101 mean nothing.
	isInterim := http.StatusContinue <= s.status && s.status < minFinalStatus && s.status != http.StatusSwitchingProtocols
	if !isInterim && !IsFinalStatus(s.status) {
		return statusLine{}, invalid("status", line)
	}
	return s, nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether a reason or a value has no control characters but tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
