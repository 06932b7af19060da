package program

import (
	"context"
	"os"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/telemetry"
)

// untilStopped is a Daemon that ends with its context, or at once with an error.
type untilStopped struct{ err error }

func (u untilStopped) Run(ctx context.Context) error {
	if u.err != nil {
		return u.err
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// Guards against a daemon that ignores a signal, or whose failure looks like a
// planned end to what supervises it.
func TestExitCodes(t *testing.T) {
	failure := errors.New("failure")
	for _, c := range []struct {
		name      string
		build     error
		run       error
		wantsCode int
	}{
		{"stopped by a signal", nil, nil, ExitOK},
		{"not built", failure, nil, ExitFailure},
		{"failed", nil, failure, ExitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			code := Run(telemetry.Discard(), func() (untilStopped, error) { return untilStopped{c.run}, c.build })
			assert.Equal(t, code, c.wantsCode)
		})
	}
}
