package cli

import "strings"

// fileFlags holds the values of a flag that may be repeated.
type fileFlags []string

// String implements flag.Value.
func (f *fileFlags) String() string { return strings.Join(*f, ",") }

// Set implements flag.Value.
func (f *fileFlags) Set(value string) error {
	*f = append(*f, value)
	return nil
}
