package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"

	"rattantide/internal/api"
)

// deleteCommand deletes an object that nothing refers to.
type deleteCommand struct {
	commonFlags
	version int64
}

// Name implements subcommands.Command.
func (*deleteCommand) Name() string { return "delete" }

// Synopsis implements subcommands.Command.
func (*deleteCommand) Synopsis() string { return "delete an object that nothing refers to" }

// Usage implements subcommands.Command.
func (*deleteCommand) Usage() string {
	return `delete KIND NAME [-version N]

Deletes an object. Fails if other objects refer to it, if it has another version
than the given one, or if it is changed while the command runs.

  rattantide delete route briefs
  rattantide delete class chat -version 17

`
}

// SetFlags implements subcommands.Command.
func (c *deleteCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "")
	f.Int64Var(&c.version, "version", 0, "delete only this `version` (default: the stored version)")
}

// Execute implements subcommands.Command.
func (c *deleteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "delete", err)
	}
	return exitCode(err)
}

func (c *deleteCommand) run(ctx context.Context, f *flag.FlagSet) error {
	kind, name, err := kindAndName(f)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	path := objectPath(kind, name)
	if c.version == 0 {
		object := &api.Object{}
		if _, err := client.Do(ctx, http.MethodGet, path, nil, object); err != nil {
			return err
		}
		c.version = int64(object.Version)
	}
	if _, err := client.Do(ctx, http.MethodDelete, fmt.Sprintf("%s?version=%d", path, c.version), nil, nil); err != nil {
		return err
	}
	c.env.printf("%s/%s deleted (version %d)\n", kind, name, c.version)
	return nil
}
