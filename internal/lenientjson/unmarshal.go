package lenientjson

import "encoding/json"

// maxDepth is the nesting up to which values are read. It is far above that of any valid
// value and far below the limit of encoding/json, which rejects the whole text.
const maxDepth = 100

// Unmarshal is json.Unmarshal, except that arrays and objects that are nested too deeply are
// read as null. isPruned reports whether there were any.
func Unmarshal(text []byte, out any) (isPruned bool, err error) {
	if err = json.Unmarshal(text, out); err == nil {
		return false, nil
	}
	pruned, isPruned := prune(text)
	if !isPruned {
		return false, err
	}
	return true, json.Unmarshal(pruned, out)
}

// prune replaces the arrays and objects in text that are nested deeper than maxDepth by null,
// and reports whether there were any. It does not check the syntax: what remains is checked
// by json.Unmarshal.
func prune(text []byte) (pruned []byte, hasChanged bool) {
	pruned = make([]byte, 0, len(text))
	depth, inString, isEscaped := 0, false, false
	for _, c := range text {
		isKept := depth <= maxDepth
		switch {
		case isEscaped:
			isEscaped = false
		case inString:
			isEscaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			depth++
			if depth == maxDepth+1 {
				pruned, hasChanged = append(pruned, "null"...), true
			}
			isKept = depth <= maxDepth
		case c == ']' || c == '}':
			depth--
		}
		if isKept {
			pruned = append(pruned, c)
		}
	}
	return pruned, hasChanged
}
