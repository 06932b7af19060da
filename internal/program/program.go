// Package program runs a daemon as a process: signals stop it, and the exit
// code reports its result.
package program

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
)

// The exit codes of the daemons: success, failure to start or run, and invalid
// settings.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// Daemon is a service that runs until ctx ends.
type Daemon interface {
	Run(ctx context.Context) error
}

// Run builds a daemon, runs it until SIGTERM or an interrupt, and returns the
// exit code.
func Run[D Daemon](logger *log.Logger, build func() (D, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := build()
	if err != nil {
		logger.Error("failed to start daemon", "error", err)
		return ExitFailure
	}
	if err := d.Run(ctx); err != nil {
		logger.Error("daemon failed", "error", err)
		return ExitFailure
	}
	return ExitOK
}
