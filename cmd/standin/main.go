// Command standin runs stand-ins for the components of the platform: the object
// API, the instance list, the cloud API, the weight store, model engines and plain
// services. Each subcommand runs one of them.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range []subcommands.Command{
		&objectAPICommand{}, &instancesCommand{}, &cloudCommand{}, &weightsCommand{}, &engineCommand{}, &serviceCommand{},
	} {
		subcommands.Register(c, "")
	}
	flag.Parse()
	return int(subcommands.Execute(ctx))
}
