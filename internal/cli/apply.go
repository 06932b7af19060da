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
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
)

// maxFileBytes is the maximum size of one applied file.
const maxFileBytes = 16 << 20

// applyCommand creates and updates objects from files.
type applyCommand struct {
	commonFlags
	files fileFlags
}

// applyResult is the result of applying one document.
type applyResult struct {
	Kind    api.Kind              `json:"kind"`
	Name    string                `json:"name"`
	Version objectclient.Revision `json:"version"`
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

Reads and validates all documents of all files, then applies them in dependency
order. If any document is invalid, nothing is applied. A document without a
version replaces the stored object, unless that changes while the command runs;
a document with a version replaces only that version.

  rattantide apply -f config.yaml
  rattantide get route briefs -o yaml | rattantide apply -f -

`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "table|json")
	f.Var(&c.files, "f", "`file` with YAML or JSON documents, or - for standard input; may be repeated")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	documents, err := c.readAndCheck(f)
	if err != nil {
		c.reportFindings(err)
		return exitCode(err)
	}
	client, err := c.client()
	if err != nil {
		reportError(c.env, "apply", err)
		return exitCode(err)
	}
	return c.applyAll(ctx, client, documents)
}

// readAndCheck reads and validates the documents of all files and returns them in
// the order of api.Kinds, so that each object follows those that must exist before
// it. The error is a *findings.Error when documents are invalid.
func (c *applyCommand) readAndCheck(f *flag.FlagSet) ([]document, error) {
	args, err := positionalArgs(f)
	if err != nil {
		return nil, err
	}
	if len(args) > 0 || len(c.files) == 0 {
		return nil, usagef("needs at least one file: -f FILE")
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
	if len(documents) == 0 && list.IsEmpty() {
		list.Addf("", "the files contain no documents")
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
	content, err := io.ReadAll(io.LimitReader(reader, maxFileBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, name)
	}
	if len(content) > maxFileBytes {
		return nil, errors.Errorf("%s exceeds %d bytes; split it into several files", name, maxFileBytes)
	}
	return content, nil
}

func (c *applyCommand) reportFindings(err error) {
	var findingsErr *findings.Error
	if !errors.As(err, &findingsErr) {
		reportError(c.env, "apply", err)
		return
	}
	for _, f := range findingsErr.Findings {
		c.env.errorf("%s", f)
	}
	c.env.errorf("%d findings; no document was applied", len(findingsErr.Findings))
}

// applyAll applies the documents in order. When a document fails, it stops after
// the last document of the same kind, because objects of later kinds may refer
// to the failed one and would fail as well.
func (c *applyCommand) applyAll(ctx context.Context, client *Client, documents []document) subcommands.ExitStatus {
	code := ExitOK
	results := make([]applyResult, 0, len(documents))
	for i, d := range documents {
		if code != ExitOK && d.object.Kind != documents[i-1].object.Kind {
			c.env.errorf("%d documents were not applied because they may refer to one that failed", len(documents)-i)
			break
		}
		result, err := applyObject(ctx, client, d.object)
		if err != nil {
			reportError(c.env, d.label, err)
			code = moreSevereCode(code, exitCode(err))
			continue
		}
		results = append(results, result)
		if c.output == "table" {
			c.env.printf("%s/%s %s (version %d)\n", result.Kind, result.Name, result.Change, result.Version)
		}
	}
	if c.output == "json" {
		if err := c.printJSON(results); err != nil {
			return moreSevereCode(code, ExitFailure)
		}
	}
	return code
}

// applyObject creates or updates one object, or leaves it as it is when the
// stored spec is equal.
func applyObject(ctx context.Context, client *Client, object *api.Object) (applyResult, error) {
	result := applyResult{Kind: object.Kind, Name: object.Name, Change: "updated"}
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

// sameSpec reports whether the specs of two objects are equal after defaults are
// applied.
func sameSpec(stored, object *api.Object) bool {
	decoded, decodeFindings := api.DecodeObject(encodeJSON(stored))
	if !decodeFindings.IsEmpty() {
		return false
	}
	return bytes.Equal(encodeJSON(decoded.Typed), encodeJSON(object.Typed))
}

// encodeJSON encodes v, which must be encodable as JSON; it returns nil if it is
// not.
func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
