package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"rattantide/internal/standin/service"
)

type serviceCommand struct {
	serverFlags
	config service.Config
	// pool is the value of -pool, which is accepted but not used.
	pool string
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a stand-in for a plain service" }
func (*serviceCommand) Usage() string    { return "service [flags]\n" }

func (c *serviceCommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	flags.StringVar(&c.config.Name, "name", "", "`name` of the instance")
	flags.StringVar(&c.pool, "pool", "", "`pool` of the service (not used)")
	flags.StringVar(&c.config.Version, "version", "v1", "`version` of the service")
	flags.DurationVar(&c.config.ServiceTime, "service-time", 0, "time to execute a call")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, c.Name(), service.New(c.config))
}
