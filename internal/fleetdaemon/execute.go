package fleetdaemon

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"rattantide/internal/program"
	"rattantide/internal/telemetry"
	"rattantide/platform"
)

// memoryShare is the part of the instance's memory at which the collector works
// harder; the rest is for what it does not manage.
const memoryShare = 0.6

// Execute runs the daemon that the environment's settings file describes until it
// is told to stop, and returns the exit code of its process. wall returns the
// instance's time of day.
func Execute(wall func() time.Time) int {
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: settings are not valid:\n%v\n", err)
		return program.ExitSettings
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	lines := telemetry.NewAsyncWriter(os.Stdout)
	defer func() { _ = lines.Close() }()
	logger, err := telemetry.NewLogger(lines, "info")
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: %v\n", err)
		return program.ExitSettings
	}
	return program.Run(logger, func() (*Daemon, error) {
		return New(Options{Settings: settings, Logger: logger, LogDrops: lines.Dropped, Wall: wall})
	})
}
