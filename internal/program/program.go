// Package program runs a daemon as the process that it is: it ends with a signal
// and tells by its exit code how it went.
package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// The exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Daemon runs until its context ends.
type Daemon interface {
	Run(ctx context.Context) error
}

// Run builds a daemon, runs it until the process is told to stop, and returns the
// exit code.
func Run[D Daemon](logger *log.Logger, build func() (D, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := build()
	if err != nil {
		logger.Error("daemon could not start", "error", err)
		return ExitFailure
	}
	if err := d.Run(ctx); err != nil {
		logger.Error("daemon failed", "error", err)
		return ExitFailure
	}
	return ExitOK
}
