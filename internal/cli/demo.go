package cli

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"rattantide/internal/cli/demo"
)

// demoCommand shows the whole system on loopback addresses.
type demoCommand struct {
	env  *Env
	bin  string
	stay bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "start stand-ins and daemons and show every feature" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-bin DIR] [-stay]

Starts the platform's stand-ins and three daemons as processes on loopback
addresses, drives real traffic through every feature and prints one line for
each. Exit code 1 when one fails. It ends within 60 s; with -stay everything
stays up until it is interrupted.

  rattantide demo -bin bin
  rattantide demo -bin bin -stay

`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	if f.Output() == os.Stderr {
		f.SetOutput(c.env.Stderr)
	}
	f.StringVar(&c.bin, "bin", "bin", "`directory` with rattantide, rattantided and standin")
	f.BoolVar(&c.stay, "stay", false, "leave everything up, with entries on 127.0.0.1:7410 to 7412 and the object API on 127.0.0.1:7400")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positionals(f)
	if err == nil && len(args) > 0 {
		err = usagef("takes no arguments, got %q", args[0])
	}
	if err == nil {
		err = demo.Run(ctx, demo.Options{Bin: c.bin, Stay: c.stay, Out: c.env.Stdout, Err: c.env.Stderr})
	}
	if err != nil {
		report(c.env, "demo", err)
	}
	return exitOf(err)
}
