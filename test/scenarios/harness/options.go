package harness

import (
	"slices"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// options are the key=value arguments of a command.
type options struct {
	ts     *testscript.TestScript
	values map[string]string
}

// parseOptions parses key=value arguments and fails the script on any other argument
// or an unknown key.
func parseOptions(ts *testscript.TestScript, args []string, known ...string) *options {
	values, rest := splitPairs(args)
	if len(rest) > 0 {
		ts.Fatalf("not a key=value option: %q", rest[0])
	}
	for key := range values {
		if !slices.Contains(known, key) {
			ts.Fatalf("unknown option %q; valid options are %q", key, known)
		}
	}
	return &options{ts: ts, values: values}
}

// text returns the value of a key, or fallback if it is not set.
func (o *options) text(key, fallback string) string {
	if value, ok := o.values[key]; ok {
		return value
	}
	return fallback
}

// number returns the integer value of a key, or fallback if it is not set.
func (o *options) number(key string, fallback int) int {
	text, ok := o.values[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(text)
	o.ts.Check(err)
	return n
}
