package cli

import "github.com/juju/errors"

// usagef returns an error about how the tool was called.
func usagef(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrUsage)
}
