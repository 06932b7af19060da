package cli

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"
)

// drainCommand starts a planned stop of one daemon.
type drainCommand struct {
	commonFlags
}

// Name implements subcommands.Command.
func (*drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCommand) Synopsis() string { return "stop one daemon without interrupting requests" }

// Usage implements subcommands.Command.
func (*drainCommand) Usage() string {
	return `drain -address ADDRESS

Starts a planned stop of one daemon: it announces that it is leaving, accepts
no new requests, waits for the open ones to end and hands off those that remain.

  rattantide drain -address 127.0.0.1:7411

`
}

// SetFlags implements subcommands.Command.
func (c *drainCommand) SetFlags(f *flag.FlagSet) { c.register(f, "") }

// Execute implements subcommands.Command.
func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "drain", err)
	}
	return exitCode(err)
}

func (c *drainCommand) run(ctx context.Context, f *flag.FlagSet) error {
	args, err := positionalArgs(f)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	// With several addresses, the first daemon that responds would be drained.
	if len(args) > 0 || len(client.Addresses) != 1 {
		return usagef("needs exactly one daemon: -address ADDRESS")
	}
	if _, err := client.Do(ctx, http.MethodPost, "/drain", nil, nil); err != nil {
		return err
	}
	c.env.printf("%s is draining\n", client.Addresses[0])
	return nil
}
