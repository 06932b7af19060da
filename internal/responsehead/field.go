package responsehead

import (
	"bytes"
	"slices"

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
			value = slices.Concat(value, []byte(" "), line)
		}
		fields.add(name, value)
	}
}

// parseField decodes the first line of a field.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return nil, nil, invalid("field name", line)
	}
	if !isText(value) {
		return nil, nil, invalid("field value", line)
	}
	return name, value, nil
}

// add keeps the value of a field that tells where a body ends.
func (f *lengthFields) add(name, value []byte) {
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encodings = append(f.encodings, trimBlanks(value))
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths = append(f.lengths, trimBlanks(value))
	}
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// trimBlanks returns a text without the spaces and tabs around it.
func trimBlanks(text []byte) string { return string(bytes.Trim(text, " \t")) }
