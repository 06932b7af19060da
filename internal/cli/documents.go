package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"
	"gopkg.in/yaml.v3"

	"rattantide/internal/api"
	"rattantide/internal/findings"
)

// document is one object of an applied file.
type document struct {
	// label names the document in messages, for example "a.yaml document 2".
	label  string
	object *api.Object
}

// readDocuments splits content into documents and decodes them. It adds the
// findings to list, with the label of the document before the path of each.
func readDocuments(source string, content []byte, list *findings.List) []document {
	raw, err := splitDocuments(content)
	if err != nil {
		list.Addf(fmt.Sprintf("%s document %d", source, len(raw)+1), "%v", err)
	}
	var out []document
	for i, data := range raw {
		if data == nil {
			continue
		}
		doc := document{label: fmt.Sprintf("%s document %d", source, i+1)}
		object, decodeFindings := api.DecodeObject(data)
		doc.object = object
		if object.Kind != "" && object.Name != "" {
			doc.label += fmt.Sprintf(" (%s/%s)", object.Kind, object.Name)
		}
		for _, f := range decodeFindings.Items() {
			list.Addf(doc.label+": "+f.Path, "%s", f.Message)
		}
		out = append(out, doc)
	}
	return out
}

// splitDocuments returns each document as JSON. An empty document is returned as
// nil, so that documents are numbered as in the file. With an error, it also
// returns the documents that precede it.
func splitDocuments(content []byte) ([][]byte, error) {
	if trimmed := bytes.TrimSpace(content); len(trimmed) > 0 && trimmed[0] == '{' {
		return splitJSON(trimmed)
	}
	var out [][]byte
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var value any
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		if value == nil {
			out = append(out, nil)
			continue
		}
		data, err := json.Marshal(value)
		if err != nil {
			return out, err
		}
		out = append(out, data)
	}
}

func splitJSON(content []byte) ([][]byte, error) {
	var out [][]byte
	decoder := json.NewDecoder(bytes.NewReader(content))
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, value)
	}
}

// checkDuplicates adds a finding for each object that occurs more than once.
func checkDuplicates(documents []document, list *findings.List) {
	labels := map[string]string{}
	for _, d := range documents {
		key := string(d.object.Kind) + "/" + d.object.Name
		if first, ok := labels[key]; ok {
			list.Addf(d.label, "is in %s already", first)
			continue
		}
		labels[key] = d.label
	}
}
