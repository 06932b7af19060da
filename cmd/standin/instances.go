package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"rattantide/internal/standin/instances"
)

type instancesCommand struct{ serverFlags }

func (*instancesCommand) Name() string                   { return "instances" }
func (*instancesCommand) Synopsis() string               { return "run a stand-in for the instance list" }
func (*instancesCommand) Usage() string                  { return "instances [flags]\n" }
func (c *instancesCommand) SetFlags(flags *flag.FlagSet) { c.register(flags) }

func (c *instancesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, c.Name(), instances.New())
}
