package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"sort"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/api"
	"rattantide/internal/findings"
	"rattantide/internal/problem"
)

// maxApplied bounds one applied file, in bytes.
const maxApplied = 16 << 20

// applyCommand creates and updates objects from files.
type applyCommand struct {
	common
	files files
}

// applied is the outcome of one document.
type applied struct {
	Kind    api.Kind `json:"kind"`
	Name    string   `json:"name"`
	Version int64    `json:"version"`
	// Change is "created", "updated" or "unchanged".
	Change string `json:"change"`
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "create or update objects from YAML or JSON files" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `apply -f FILE [-f FILE]... [-o table|json]

Reads all documents of all files, checks them, and applies them in the order
in which they refer to each other. Nothing is sent while a document has a
finding. A document without a version replaces what is stored, unless it is
changed in between; a document with a version replaces only that version.

  rattantide apply -f config.yaml
  rattantide get route briefs -o yaml | rattantide apply -f -

`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "table|json")
	f.Var(&c.files, "f", "`file` with YAML or JSON documents, or - for the standard input; may be repeated")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	documents, err := c.read(f)
	if err != nil {
		c.reportFindings(err)
		return exitOf(err)
	}
	client, err := c.client()
	if err != nil {
		report(c.env, "apply", err)
		return exitOf(err)
	}
	return c.applyAll(ctx, client, documents)
}

func (c *applyCommand) read(f *flag.FlagSet) ([]document, error) {
	args, err := positionals(f)
	if err != nil {
		return nil, err
	}
	if len(args) > 0 || len(c.files) == 0 {
		return nil, usagef("name the files with -f")
	}
	if err := c.checkOutput("table", "json"); err != nil {
		return nil, err
	}
	list := &findings.List{}
	var documents []document
	for _, name := range c.files {
		content, err := c.readFile(name)
		if err != nil {
			return nil, err
		}
		documents = append(documents, readDocuments(name, content, list)...)
	}
	checkDuplicates(documents, list)
	if len(documents) == 0 && list.Empty() {
		list.Addf("", "the files hold no document")
	}
	order := map[api.Kind]int{}
	for i, kind := range api.Kinds {
		order[kind] = i
	}
	sort.SliceStable(documents, func(i, j int) bool {
		return order[documents[i].object.Kind] < order[documents[j].object.Kind]
	})
	return documents, list.Err()
}

func (c *applyCommand) readFile(name string) ([]byte, error) {
	reader := c.env.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer func() { _ = file.Close() }()
		reader = file
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxApplied+1))
	if err != nil {
		return nil, errors.Annotate(err, name)
	}
	if len(content) > maxApplied {
		return nil, errors.Errorf("%s is above %d bytes; split it", name, maxApplied)
	}
	return content, nil
}

func (c *applyCommand) reportFindings(err error) {
	var found *findings.Error
	if !errors.As(err, &found) {
		report(c.env, "apply", err)
		return
	}
	for _, f := range found.Findings {
		c.env.errorf("%s", f)
	}
	c.env.errorf("%d findings; nothing was applied", len(found.Findings))
}

// applyAll stops after a kind in which a document failed, because later kinds
// refer to it and would only repeat the failure.
func (c *applyCommand) applyAll(ctx context.Context, client *Client, documents []document) subcommands.ExitStatus {
	code := ExitOK
	results := make([]applied, 0, len(documents))
	for i, d := range documents {
		if code != ExitOK && d.object.Kind != documents[i-1].object.Kind {
			c.env.errorf("%d documents were not applied, because they may refer to one that failed", len(documents)-i)
			break
		}
		result, err := applyOne(ctx, client, d.object)
		if err != nil {
			report(c.env, d.label, err)
			code = worse(code, exitOf(err))
			continue
		}
		results = append(results, result)
		if c.output == "table" {
			c.env.printf("%s/%s %s (version %d)\n", result.Kind, result.Name, result.Change, result.Version)
		}
	}
	if c.output == "json" {
		if err := c.printJSON(results); err != nil {
			return worse(code, ExitFailure)
		}
	}
	return code
}

func applyOne(ctx context.Context, client *Client, object *api.Object) (applied, error) {
	result := applied{Kind: object.Kind, Name: object.Name, Change: "updated"}
	path := objectPath(object.Kind, object.Name)
	desired := *object
	desired.Status = nil
	stored := &api.Object{}
	_, err := client.Do(ctx, http.MethodGet, path, nil, stored)
	var p *problem.Problem
	switch {
	case errors.As(err, &p) && p.Status == http.StatusNotFound:
		result.Change = "created"
	case err != nil:
		return result, err
	case sameSpec(stored, object) && (object.Version <= 0 || object.Version == stored.Version):
		result.Change, result.Version = "unchanged", stored.Version
		return result, nil
	case object.Version == 0:
		desired.Version = stored.Version
	}
	written := &api.Object{}
	if _, err := client.Do(ctx, http.MethodPut, path, &desired, written); err != nil {
		return result, err
	}
	result.Version = written.Version
	return result, nil
}

// sameSpec compares specs with their defaults filled in.
func sameSpec(stored, object *api.Object) bool {
	decoded, found := api.DecodeObject(mustEncode(stored))
	if !found.Empty() {
		return false
	}
	return bytes.Equal(mustEncode(decoded.Typed), mustEncode(object.Typed))
}

// mustEncode encodes values that were decoded from JSON before.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
