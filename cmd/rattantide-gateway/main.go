// Command rattantide-gateway is the daemon of a deployment on the operators'
// platform. Its settings file is named by the environment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"rattantide/internal/fleetdaemon"
	"rattantide/internal/telemetry"
	"rattantide/platform"
)

const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
	// memoryShare is the part of the instance's memory at which the collector
	// works harder; the rest is for what it does not manage.
	memoryShare = 0.6
)

func main() { os.Exit(run()) }

func run() int {
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: settings are not valid:\n%v\n", err)
		return exitSettings
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	lines := telemetry.NewAsyncWriter(os.Stdout)
	defer func() { _ = lines.Close() }()
	logger, err := telemetry.NewLogger(lines, "info")
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: %v\n", err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := fleetdaemon.New(settings, logger, lines.Dropped)
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
