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

// testDaemon is a Daemon that sends SIGTERM to its own process and runs until
// its context ends, or returns err at once if it is set.
type testDaemon struct{ err error }

func (d testDaemon) Run(ctx context.Context) error {
	if d.err != nil {
		return d.err
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// Guards against a daemon that ignores a signal, or whose failure appears to
// its supervisor as a planned exit.
func TestExitCodes(t *testing.T) {
	failure := errors.New("failure")
	for _, c := range []struct {
		name     string
		build    error
		run      error
		wantCode int
	}{
		{"stopped by a signal", nil, nil, ExitOK},
		{"not built", failure, nil, ExitFailure},
		{"failed", nil, failure, ExitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			code := Run(telemetry.Discard(), func() (testDaemon, error) { return testDaemon{c.run}, c.build })
			assert.Equal(t, code, c.wantCode)
		})
	}
}
