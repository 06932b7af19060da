package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"rattantide/internal/standin/objectapi"
)

type objectAPICommand struct {
	serverFlags
	config objectapi.Config
}

func (*objectAPICommand) Name() string     { return "objectapi" }
func (*objectAPICommand) Synopsis() string { return "run a stand-in for the object API" }
func (*objectAPICommand) Usage() string    { return "objectapi [flags]\n" }

func (c *objectAPICommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	flags.Float64Var(&c.config.WritesPerSecond, "writes-per-second", 300, "maximum number of writes per second; 0 means no limit")
	flags.Float64Var(&c.config.ReadsPerSecond, "reads-per-second", 2000, "maximum number of reads per second; 0 means no limit")
}

func (c *objectAPICommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, c.Name(), objectapi.New(c.config))
}
