package responsehead

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// parseFields checks the field lines of a head, which end with an empty line.
func parseFields(text []byte) error {
	for {
		var line []byte
		line, text = cutLine(text)
		if len(line) == 0 {
			return nil
		}
		if _, _, err := parseField(line); err != nil {
			return err
		}
		for len(text) > 0 && isBlank(text[0]) {
			line, text = cutLine(text)
			if !isText(line) {
				return invalid("folded field", line)
			}
		}
	}
}

// parseField decodes the first line of a field.
func parseField(line []byte) (name, value string, err error) {
	before, after, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(before)) {
		return "", "", invalid("field name", line)
	}
	if !isText(after) {
		return "", "", invalid("field value", line)
	}
	return string(before), trimBlanks(after), nil
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// trimBlanks returns a text without the spaces and tabs around it.
func trimBlanks(text []byte) string { return string(bytes.Trim(text, " \t")) }
