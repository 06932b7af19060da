// Command rattantided is the daemon that runs on every entry instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/juju/errors"

	"rattantide/internal/daemon"
	"rattantide/internal/settings"
	"rattantide/internal/telemetry"
)

const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	s, err := settings.Parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantided: settings are not valid:\n%v\n", err)
		return exitSettings
	}
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantided: %v\n", err)
		return exitSettings
	}
	if s.MaxProcs > 0 {
		runtime.GOMAXPROCS(s.MaxProcs)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(s, logger)
	if err != nil {
		logger.Error("daemon could not start", "error", err)
		return exitFailure
	}
	if err := d.Run(ctx); err != nil {
		logger.Error("daemon failed", "error", err)
		return exitFailure
	}
	return exitOK
}
