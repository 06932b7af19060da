package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"

	"rattantide/internal/admin"
	"rattantide/internal/api"
)

// getCommand lists objects or prints a single one.
type getCommand struct {
	commonFlags
}

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string { return "list objects or print a single one" }

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return `get [KIND [NAME]] [-o table|json|yaml]

Lists all objects or those of a kind, or prints a single object. Kinds are
class, workspace, pool, version, route and versionmove, in singular or plural.

  rattantide get
  rattantide get routes
  rattantide get route briefs -o yaml

`
}

// SetFlags implements subcommands.Command.
func (c *getCommand) SetFlags(f *flag.FlagSet) { c.register(f, "table|json|yaml") }

// Execute implements subcommands.Command.
func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "get", err)
	}
	return exitCode(err)
}

func (c *getCommand) run(ctx context.Context, f *flag.FlagSet) error {
	args, err := positionalArgs(f)
	if err != nil {
		return err
	}
	if err := c.checkOutput("table", "json", "yaml"); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	switch len(args) {
	case 0:
		return c.getLists(ctx, client, api.Kinds)
	case 1:
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		return c.getLists(ctx, client, []api.Kind{kind})
	case 2:
		return c.getObject(ctx, client, args[0], args[1])
	}
	return usagef("takes at most KIND and NAME, got %d arguments", len(args))
}

func (c *getCommand) getObject(ctx context.Context, client *Client, kindText, name string) error {
	kind, err := parseKind(kindText)
	if err != nil {
		return err
	}
	object := &api.Object{}
	header, err := client.Do(ctx, http.MethodGet, objectPath(kind, name), nil, object)
	if err != nil {
		return err
	}
	c.warnIfLocal(header.Get(admin.SourceHeader))
	if c.output == "table" {
		c.printTable(&admin.ObjectList{Kind: kind, Items: []*api.Object{object}})
		return nil
	}
	return c.print(object)
}

func (c *getCommand) getLists(ctx context.Context, client *Client, kinds []api.Kind) error {
	lists := make([]*admin.ObjectList, 0, len(kinds))
	for _, kind := range kinds {
		list := &admin.ObjectList{}
		if _, err := client.Do(ctx, http.MethodGet, "/objects/"+string(kind), nil, list); err != nil {
			return err
		}
		c.warnIfLocal(list.Source)
		lists = append(lists, list)
	}
	if c.output == "table" {
		c.printTables(lists)
		return nil
	}
	if len(lists) == 1 {
		return c.print(lists[0])
	}
	return c.print(lists)
}

func (c *getCommand) printTables(lists []*admin.ObjectList) {
	printed := 0
	for _, list := range lists {
		if len(list.Items) == 0 && len(lists) > 1 {
			continue
		}
		if printed > 0 {
			c.env.printf("\n")
		}
		if len(lists) > 1 {
			c.env.printf("%s\n", list.Kind)
		}
		c.printTable(list)
		printed++
	}
	if printed == 0 {
		c.env.printf("no objects\n")
	}
}

func (c *getCommand) printTable(list *admin.ObjectList) {
	t := newTable(c.env.Stdout, append([]string{"NAME", "VERSION"}, columnsOf(list.Kind)...)...)
	for _, object := range list.Items {
		t.row(append([]string{object.Name, fmt.Sprint(object.Version)}, cellsOf(object)...)...)
	}
	t.flush()
}

func (c *getCommand) print(v any) error {
	if c.output == "yaml" {
		return c.printYAML(v)
	}
	return c.printJSON(v)
}

// warnIfLocal prints a warning if the response is from the local configuration of
// a daemon, which may be out of date, and not from the object API.
func (c *commonFlags) warnIfLocal(source string) {
	if source == admin.SourceLocal {
		c.env.errorf("the object API is unavailable; showing the configuration in effect on the daemon")
	}
}
