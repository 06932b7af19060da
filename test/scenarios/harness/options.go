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

// parseOptions refuses arguments that are not key=value with a known key.
func parseOptions(ts *testscript.TestScript, args []string, known ...string) *options {
	values, rest := pairs(args)
	if len(rest) > 0 {
		ts.Fatalf("not an option: %q", rest[0])
	}
	for key := range values {
		if !slices.Contains(known, key) {
			ts.Fatalf("unknown option %q; known are %q", key, known)
		}
	}
	return &options{ts: ts, values: values}
}

func (o *options) text(key, otherwise string) string {
	if value, ok := o.values[key]; ok {
		return value
	}
	return otherwise
}

func (o *options) number(key string, otherwise int) int {
	text, ok := o.values[key]
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	o.ts.Check(err)
	return n
}
