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

// logsCommand follows a request through the logs of daemons, or summarizes why
// requests were not served.
type logsCommand struct {
	commonFlags
	request string
}

// Name implements subcommands.Command.
func (*logsCommand) Name() string { return "logs" }

// Synopsis implements subcommands.Command.
func (*logsCommand) Synopsis() string {
	return "follow a request through the daemons' logs, or summarize failures"
}

// Usage implements subcommands.Command.
func (*logsCommand) Usage() string {
	return `logs [-request ID] [-o table|json] [FILE ...]

Reads JSON log lines of daemons from the files or from standard input. With
-request it prints all lines about that request, from all files, ordered by
time. Without -request it summarizes why requests were not served, with an
example for each cause. It calls no daemon.

  rattantide logs daemon-*.log
  rattantide logs -request 9c41d07be2a35f68 daemon-*.log

`
}

// SetFlags implements subcommands.Command.
func (c *logsCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "table|json")
	f.StringVar(&c.request, "request", "", "ID of the request to follow")
}

// Execute implements subcommands.Command.
func (c *logsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(f)
	if err != nil {
		reportError(c.env, "logs", err)
	}
	return exitCode(err)
}

func (c *logsCommand) run(f *flag.FlagSet) error {
	files, err := positionalArgs(f)
	if err != nil {
		return err
	}
	if err := c.checkOutput("table", "json"); err != nil {
		return err
	}
	var entries []requestlog.Entry
	var summary requestlog.Summary
	visit := func(e requestlog.Entry) {
		summary.Add(e)
		if c.request != "" && e.Request == c.request {
			entries = append(entries, e)
		}
	}
	skipped, err := c.readLogs(files, visit)
	if err != nil {
		return err
	}
	if c.request != "" {
		return c.printRequest(entries)
	}
	return c.printSummary(&summary, skipped)
}

// readLogs calls visit for each log line of all files, or of the standard input
// when there are none, and returns the number of lines that are not JSON.
func (c *logsCommand) readLogs(files []string, visit func(requestlog.Entry)) (skipped int, err error) {
	if len(files) == 0 {
		return requestlog.Read("-", c.env.Stdin, visit)
	}
	for _, name := range files {
		n, err := readLogFile(name, visit)
		skipped += n
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

func readLogFile(name string, visit func(requestlog.Entry)) (skipped int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	return requestlog.Read(name, io.Reader(file), visit)
}

func (c *logsCommand) printRequest(entries []requestlog.Entry) error {
	if len(entries) == 0 {
		return errors.NotFoundf("log lines of request %q", c.request)
	}
	requestlog.SortByTime(entries)
	if c.output == "json" {
		return c.printJSON(entries)
	}
	t := newTable(c.env.Stdout, "TIME", "SOURCE", "MESSAGE", "STATUS", "REASON", "DETAILS")
	for i := range entries {
		e := &entries[i]
		t.row(e.Time.Format("15:04:05.000"), e.Source, e.Message, strconv.Itoa(e.Status), e.Reason, formatFields(e))
	}
	t.flush()
	return nil
}

// formatFields returns the fields of an entry that have no column, as
// "name=value" pairs.
func formatFields(e *requestlog.Entry) string {
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
