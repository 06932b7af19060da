package cli

import "strings"

// files is a flag that may be repeated.
type files []string

// String implements flag.Value.
func (f *files) String() string { return strings.Join(*f, ",") }

// Set implements flag.Value.
func (f *files) Set(value string) error {
	*f = append(*f, value)
	return nil
}
