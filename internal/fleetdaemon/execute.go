package fleetdaemon

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"rattantide/internal/program"
	"rattantide/internal/telemetry"
	"rattantide/platform"
)

// memoryLimitRatio is the ratio of the soft memory limit of the Go runtime to the
// instance's memory; the rest is for memory that the runtime does not manage.
const memoryLimitRatio = 0.6

// Execute loads the settings file that the environment names, runs the daemon until
// it is signaled to stop, and returns the exit code of the process. wall returns the
// instance's wall-clock time.
func Execute(wall func() time.Time) int {
	// A signal that is not handled yet would end the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: invalid settings:\n%v\n", err)
		return program.ExitSettings
	}
	features, err := FeaturesFromEnvironment(os.LookupEnv)
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: invalid environment:\n%v\n", err)
		return program.ExitSettings
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	}
	lines := telemetry.NewAsyncWriter(os.Stdout)
	defer func() { _ = lines.Close() }()
	logger, err := telemetry.NewLogger(lines, "info")
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantide-gateway: %v\n", err)
		return program.ExitSettings
	}
	return program.Run(logger, func() (*Daemon, error) {
		return New(Options{Settings: settings, Logger: logger, DroppedLogLines: lines.Dropped, Wall: wall, Reloads: reloads, Features: features})
	})
}
