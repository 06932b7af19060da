package responsehead

import "bytes"

// check checks a complete head, from the status line to the empty line, and returns its status
// line. The error wraps ErrInvalid.
func check(head []byte) (statusLine, error) {
	line, rest := cutLine(head)
	start, err := parseStatusLine(line)
	if err != nil {
		return statusLine{}, err
	}
	fields, err := parseFields(rest)
	if err != nil {
		return statusLine{}, err
	}
	return start, checkLength(start, fields)
}

// cutLine returns the first line without its end, and the rest.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}
