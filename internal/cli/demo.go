package cli

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"rattantide/internal/cli/demo"
)

// demoCommand runs the whole system on loopback addresses and demonstrates its
// features.
type demoCommand struct {
	env  *Env
	bin  string
	stay bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string {
	return "start stand-ins and daemons and demonstrate every feature"
}

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-bin DIR] [-stay]

Starts stand-ins for the platform and three daemons as processes on loopback
addresses, demonstrates every feature with real traffic and prints one line for
each. Exit code 1 if one fails. It ends within 60 s; with -stay it only applies
the configuration and leaves all processes running until it is interrupted.

  rattantide demo -bin bin
  rattantide demo -bin bin -stay

`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	if f.Output() == os.Stderr {
		f.SetOutput(c.env.Stderr)
	}
	f.StringVar(&c.bin, "bin", "bin", "`directory` that contains rattantide, rattantided and standin")
	f.BoolVar(&c.stay, "stay", false, "leave all processes running, with the daemons on 127.0.0.1:7410 to 7412 and the object API on 127.0.0.1:7400")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positionalArgs(f)
	if err == nil && len(args) > 0 {
		err = usagef("takes no arguments, got %q", args[0])
	}
	if err == nil {
		err = demo.Run(ctx, demo.Options{Bin: c.bin, Stay: c.stay, Out: c.env.Stdout, Err: c.env.Stderr})
	}
	if err != nil {
		reportError(c.env, "demo", err)
	}
	return exitCode(err)
}
