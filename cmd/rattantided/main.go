// Command rattantided is the daemon of the serving system. It runs on every instance
// that callers connect to, and relays their requests to the upstreams. Package settings
// reads its settings from flags and RATTANTIDE_* environment variables.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"

	"github.com/juju/errors"

	"rattantide/internal/daemon"
	"rattantide/internal/program"
	"rattantide/internal/settings"
	"rattantide/internal/telemetry"
)

func main() { os.Exit(run()) }

func run() int {
	s, err := settings.Parse(os.Args[1:], os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return program.ExitOK
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantided: invalid settings:\n%v\n", err)
		return program.ExitSettings
	}
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "rattantided: cannot create the logger: %v\n", err)
		return program.ExitSettings
	}
	if s.MaxProcs > 0 {
		runtime.GOMAXPROCS(s.MaxProcs)
	}
	return program.Run(logger, func() (*daemon.Daemon, error) { return daemon.New(s, logger) })
}
