package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/requestlog"
)

// logsCommand reads the logs of daemons.
type logsCommand struct {
	common
	request string
}

// Name implements subcommands.Command.
func (*logsCommand) Name() string { return "logs" }

// Synopsis implements subcommands.Command.
func (*logsCommand) Synopsis() string {
	return "follow a request through daemons' logs, or sum up what failed"
}

// Usage implements subcommands.Command.
func (*logsCommand) Usage() string {
	return `logs [-request ID] [-o table|json] [FILE ...]

Reads the JSON lines that daemons write, from the files or from standard input.
With -request it prints every line about that request, of all files in the order
of time. Without, it sums up why requests were not served, with an example of
each cause. No daemon is called.

  rattantide logs daemon-*.log
  rattantide logs -request 9c41d07be2a35f68 daemon-*.log

`
}

// SetFlags implements subcommands.Command.
func (c *logsCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "table|json")
	f.StringVar(&c.request, "request", "", "identifier of the request to follow")
}

// Execute implements subcommands.Command.
func (c *logsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(f)
	if err != nil {
		report(c.env, "logs", err)
	}
	return exitOf(err)
}

func (c *logsCommand) run(f *flag.FlagSet) error {
	files, err := positionals(f)
	if err != nil {
		return err
	}
	if err := c.checkOutput("table", "json"); err != nil {
		return err
	}
	var entries []requestlog.Entry
	var summary requestlog.Summary
	keep := func(e requestlog.Entry) {
		summary.Add(e)
		if c.request != "" && e.Request == c.request {
			entries = append(entries, e)
		}
	}
	skipped, err := c.read(files, keep)
	if err != nil {
		return err
	}
	if c.request != "" {
		return c.printRequest(entries)
	}
	return c.printSummary(&summary, skipped)
}

// read reads all files, or standard input when there are none.
func (c *logsCommand) read(files []string, keep func(requestlog.Entry)) (skipped int, err error) {
	if len(files) == 0 {
		return requestlog.Read("-", c.env.Stdin, keep)
	}
	for _, name := range files {
		n, err := readLog(name, keep)
		skipped += n
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

func readLog(name string, keep func(requestlog.Entry)) (skipped int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return requestlog.Read(name, io.Reader(file), keep)
}

func (c *logsCommand) printRequest(entries []requestlog.Entry) error {
	if len(entries) == 0 {
		return errors.NotFoundf("request %q in these logs", c.request)
	}
	requestlog.SortByTime(entries)
	if c.output == "json" {
		return c.printJSON(entries)
	}
	t := newTable(c.env.Stdout, "TIME", "SOURCE", "MESSAGE", "STATUS", "REASON", "DETAILS")
	for i := range entries {
		e := &entries[i]
		t.row(e.Time.Format("15:04:05.000"), e.Source, e.Message, strconv.Itoa(e.Status), e.Reason, details(e))
	}
	t.flush()
	return nil
}

// details prints the other fields of an entry.
func details(e *requestlog.Entry) string {
	var parts []string
	for _, name := range e.Names() {
		value := string(e.Fields[name])
		var text string
		if json.Unmarshal(e.Fields[name], &text) == nil {
			value = text
		}
		parts = append(parts, name+"="+value)
	}
	return strings.Join(parts, " ")
}

func (c *logsCommand) printSummary(summary *requestlog.Summary, skipped int) error {
	causes := summary.Causes()
	if c.output == "json" {
		return c.printJSON(map[string]any{"requests": summary.Requests(), "notServed": causes, "skippedLines": skipped})
	}
	t := newTable(c.env.Stdout, "COUNT", "STATUS", "REASON", "EXAMPLE")
	for _, cause := range causes {
		t.row(strconv.Itoa(cause.Count), strconv.Itoa(cause.Status), cause.Reason, cause.Example)
	}
	t.row(strconv.Itoa(summary.Requests()), "", "requests in all", "")
	t.flush()
	return nil
}
