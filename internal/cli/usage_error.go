package cli

import "github.com/juju/errors"

// usagef returns an error of the type ErrUsage.
func usagef(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrUsage)
}
