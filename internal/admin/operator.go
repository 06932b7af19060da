package admin

import (
	"net/http"
	"strings"
	"unicode"
)

// OperatorHeader names the operator in the change log. The operator token is
// what grants access; this name is the operator's own statement.
const OperatorHeader = "X-Operator"

const maxOperatorLength = 64

// operatorName returns the stated name without control characters, so that it
// cannot forge a log line, or "unknown".
func operatorName(r *http.Request) string {
	name := strings.Map(func(c rune) rune {
		if !unicode.IsPrint(c) {
			return -1
		}
		return c
	}, r.Header.Get(OperatorHeader))
	if len(name) > maxOperatorLength {
		name = name[:maxOperatorLength]
	}
	if name == "" {
		return "unknown"
	}
	return name
}
