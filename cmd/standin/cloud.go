package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"rattantide/internal/standin/cloud"
)

type cloudCommand struct{ serverFlags }

func (*cloudCommand) Name() string                   { return "cloud" }
func (*cloudCommand) Synopsis() string               { return "run a stand-in for the cloud API" }
func (*cloudCommand) Usage() string                  { return "cloud [flags]\n" }
func (c *cloudCommand) SetFlags(flags *flag.FlagSet) { c.register(flags) }

func (c *cloudCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, c.Name(), cloud.New())
}
