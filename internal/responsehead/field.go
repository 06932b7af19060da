package responsehead

import (
	"bytes"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// lengthFields are the values of the fields that tell where a body ends.
type lengthFields struct {
	// encodings are those of Transfer-Encoding, lengths those of Content-Length.
	encodings, lengths []string
}

// parseFields checks the field lines of a head, which end with an empty line.
func parseFields(text []byte) (lengthFields, error) {
	var fields lengthFields
	for {
		var line []byte
		line, text = cutLine(text)
		if len(line) == 0 {
			return fields, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return lengthFields{}, err
		}
		for len(text) > 0 && isBlank(text[0]) {
			line, text = cutLine(text)
			if !isText(line) {
				return lengthFields{}, invalid("folded field", line)
			}
			value += " " + trimBlanks(line)
		}
		fields.add(name, strings.TrimSpace(value))
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

// add keeps the value of a field that tells where a body ends.
func (f *lengthFields) add(name, value string) {
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.encodings = append(f.encodings, value)
	case strings.EqualFold(name, "Content-Length"):
		f.lengths = append(f.lengths, value)
	}
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// trimBlanks returns a text without the spaces and tabs around it.
func trimBlanks(text []byte) string { return string(bytes.Trim(text, " \t")) }
