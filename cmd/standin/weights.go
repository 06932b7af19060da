package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"rattantide/internal/standin/weights"
)

type weightsCommand struct {
	serverFlags
	config weights.Config
}

func (*weightsCommand) Name() string     { return "weights" }
func (*weightsCommand) Synopsis() string { return "run a stand-in for the weight store" }
func (*weightsCommand) Usage() string    { return "weights [flags]\n" }

func (c *weightsCommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	flags.IntVar(&c.config.Bytes, "bytes", 1<<20, "size of each version in `bytes`")
	flags.Float64Var(&c.config.BytesPerSecond, "bytes-per-second", 16<<20, "maximum rate of all readers together, in bytes per second; 0 means no limit")
	flags.Int64Var(&c.config.MaxReaders, "max-readers", 8, "maximum number of concurrent reads; 0 means no limit")
}

func (c *weightsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.serve(ctx, c.Name(), weights.New(c.config))
}
