package admin

import (
	"net/http"
	"strings"
	"unicode"
)

// OperatorHeader is the request header with the operator's name for the change
// log. The name is not verified; access is granted by the operator token alone.
const OperatorHeader = "X-Operator"

// maxOperatorLength is the largest length of a logged operator name, in bytes.
const maxOperatorLength = 64

// operatorName returns the operator name of the request, or "unknown". Control
// characters are removed, so that the name cannot forge a log line.
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
