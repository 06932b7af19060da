package cli

import (
	"context"
	"flag"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
)

// moveCommand declares a version move and watches its progress.
type moveCommand struct {
	commonFlags
	from         string
	to           string
	name         string
	deadline     time.Duration
	noWait       bool
	pollInterval time.Duration
}

// Name implements subcommands.Command.
func (*moveCommand) Name() string { return "move" }

// Synopsis implements subcommands.Command.
func (*moveCommand) Synopsis() string { return "move a pool to another version and watch the outcome" }

// Usage implements subcommands.Command.
func (*moveCommand) Usage() string {
	return `move POOL -to VERSION -deadline DURATION [-from VERSION] [-name NAME] [-no-wait]
move -name NAME

Declares a version move of a pool and prints its progress until it is done or
undone, with the reason. The system increases the share of the new version
automatically, and undoes the move if the new version performs badly. With
-name alone, watches a move that was declared before. An interrupt stops
watching, not the move.

Exit code 0: done. 4: undone, the pool remains on the old version. 5: the
outcome could not be determined.

  rattantide move briefs -to briefs-v2 -deadline 10m
  rattantide move briefs -to briefs-v2 -deadline 10m -no-wait -o json

`
}

// SetFlags implements subcommands.Command.
func (c *moveCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "table|json")
	f.StringVar(&c.to, "to", "", "`version` to move to")
	f.StringVar(&c.from, "from", "", "`version` to move from (default: the one in effect)")
	f.StringVar(&c.name, "name", "", "`name` of the move (default: derived from the pool, the version and the time)")
	f.DurationVar(&c.deadline, "deadline", 0, "time within which the move must be done or undone, for example 10m")
	f.BoolVar(&c.noWait, "no-wait", false, "return as soon as the move is declared")
	f.DurationVar(&c.pollInterval, "poll", 500*time.Millisecond, "interval between two queries of the move")
}

// Execute implements subcommands.Command.
func (c *moveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	code, err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "move", err)
		return exitCode(err)
	}
	return code
}

func (c *moveCommand) run(ctx context.Context, f *flag.FlagSet) (subcommands.ExitStatus, error) {
	args, err := positionalArgs(f)
	if err != nil {
		return ExitUsage, err
	}
	if err := c.checkArgs(args); err != nil {
		return ExitUsage, err
	}
	client, err := c.client()
	if err != nil {
		return ExitFailure, err
	}
	object := &api.Object{}
	if len(args) == 1 {
		object, err = c.declare(ctx, client, args[0])
	} else {
		_, err = client.Do(ctx, http.MethodGet, objectPath(api.KindVersionMove, c.name), nil, object)
	}
	if err != nil {
		return ExitFailure, err
	}
	if c.noWait {
		if c.output == "json" {
			return ExitOK, c.printJSON(object)
		}
		c.env.printf("VersionMove/%s declared, deadline %s\n", object.Name, formatTime(moveStatus(object).DeadlineMs))
		return ExitOK, nil
	}
	watcher := &moveWatcher{commonFlags: c.commonFlags, client: client, pollInterval: c.pollInterval}
	return watcher.run(ctx, object)
}

// checkArgs validates the positional arguments together with the flags.
func (c *moveCommand) checkArgs(args []string) error {
	switch {
	case len(args) > 1:
		return usagef("takes at most one POOL, got %d arguments", len(args))
	case len(args) == 0 && c.name == "":
		return usagef("needs POOL, or -name to watch a move")
	case len(args) == 0 && (c.to != "" || c.from != "" || c.deadline != 0):
		return usagef("needs POOL to declare a move")
	case len(args) == 1 && c.to == "":
		return usagef("needs -to VERSION")
	case len(args) == 1 && c.deadline <= 0:
		return usagef("needs -deadline, for example -deadline 10m")
	case c.pollInterval <= 0:
		return usagef("-poll must be greater than 0")
	}
	return c.checkOutput("table", "json")
}

// declare stores a new version move and returns it as stored.
func (c *moveCommand) declare(ctx context.Context, client *Client, pool string) (*api.Object, error) {
	if c.from == "" {
		from, err := effectiveVersion(ctx, client, pool)
		if err != nil {
			return nil, err
		}
		c.from = from
	}
	if c.name == "" {
		c.name = moveName(pool, c.to, time.Now())
	}
	spec := &api.VersionMove{Pool: pool, From: c.from, To: c.to, Deadline: api.Duration(c.deadline)}
	object := &api.Object{Kind: api.KindVersionMove, Name: c.name, Spec: encodeJSON(spec)}
	stored := &api.Object{}
	_, err := client.Do(ctx, http.MethodPut, objectPath(object.Kind, object.Name), object, stored)
	return stored, err
}

// moveName returns the default name of a move: the pool, the version and the time.
// It truncates the first two together to 46 bytes, so that the name stays within the
// 63 bytes of an object name.
func moveName(pool, to string, now time.Time) string {
	const maxBaseLength = 46
	base := pool + "-" + to
	if len(base) > maxBaseLength {
		base = base[:maxBaseLength]
	}
	return base + "-" + now.UTC().Format("20060102t150405")
}

// effectiveVersion returns the version that serves the pool at present.
func effectiveVersion(ctx context.Context, client *Client, pool string) (string, error) {
	cache := configsync.NewCache()
	for _, kind := range []api.Kind{api.KindPool, api.KindVersionMove} {
		list := &admin.ObjectList{}
		if _, err := client.Do(ctx, http.MethodGet, "/objects/"+string(kind), nil, list); err != nil {
			return "", err
		}
		for _, object := range list.Items {
			value, err := object.Value()
			if err != nil {
				return "", errors.Trace(err)
			}
			cache.Apply(objectclient.Object{Kind: string(kind), Name: object.Name, Version: object.Version, Value: value})
		}
	}
	version := cache.Snapshot().EffectiveVersion(pool)
	if version == "" {
		return "", errors.Errorf("pool %q does not exist; list the pools with: rattantide get pools", pool)
	}
	return version, nil
}
