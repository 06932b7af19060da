package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/juju/errors"

	"rattantide/internal/findings"
)

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawType         = reflect.TypeFor[json.RawMessage]()
)

// decodeStrict decodes data into the struct that into points to and records
// every unknown field and every value of a wrong type with its path below
// prefix. encoding/json alone reports only the first. It returns whether the
// known fields could be decoded, so that their values can be checked as well.
func decodeStrict(data []byte, into any, prefix string, list *findings.List) bool {
	var value any
	if err := decodeOne(data, &value); err != nil {
		list.Addf(prefix, "%v", err)
		return false
	}
	wrong := &findings.List{}
	unknown := &findings.List{}
	w := walker{wrong: wrong, unknown: unknown}
	w.walk(value, reflect.TypeOf(into).Elem(), "")
	list.Merge(prefix, wrong)
	list.Merge(prefix, unknown)
	if !wrong.Empty() {
		return false
	}
	if err := json.Unmarshal(data, into); err != nil {
		list.Addf(prefix, "%v", err)
		return false
	}
	return true
}

func decodeOne(data []byte, into *any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(into); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("is empty")
		}
		return err
	}
	if decoder.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}

// walker compares a decoded JSON value with the type that it is meant for.
type walker struct {
	wrong   *findings.List
	unknown *findings.List
}

func (w *walker) walk(value any, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		if value == nil {
			return
		}
		t = t.Elem()
	}
	switch {
	case t == rawType:
	case reflect.PointerTo(t).Implements(unmarshalerType):
		w.leaf(value, t, path)
	case t.Kind() == reflect.Struct:
		w.object(value, t, path)
	case t.Kind() == reflect.Slice:
		items, ok := value.([]any)
		if !ok {
			w.wrong.Addf(path, "must be a list, got %s", describe(value))
			return
		}
		for i, item := range items {
			w.walk(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		w.leaf(value, t, path)
	}
}

func (w *walker) object(value any, t reflect.Type, path string) {
	object, ok := value.(map[string]any)
	if !ok {
		w.wrong.Addf(path, "must be an object, got %s", describe(value))
		return
	}
	fields := fieldsOf(t)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		at := name
		if path != "" {
			at = path + "." + name
		}
		if field, ok := fields[name]; ok {
			w.walk(object[name], field, at)
			continue
		}
		w.unknown.Addf(at, "is not a known field; known are %s", strings.Join(sortedKeys(fields), ", "))
	}
}

// leaf lets encoding/json judge a single value.
func (w *walker) leaf(value any, t reflect.Type, path string) {
	data, err := json.Marshal(value)
	if err != nil {
		w.wrong.Addf(path, "%v", err)
		return
	}
	err = json.Unmarshal(data, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		w.wrong.Addf(path, "must be a %s, got %s", expected(t), describe(value))
	case err != nil:
		w.wrong.Addf(path, "%v", err)
	}
}

// fieldsOf returns the JSON fields of a struct type.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func sortedKeys(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func expected(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64:
		return "whole number"
	}
	return "number"
}

func describe(value any) string {
	switch v := value.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case json.Number:
		return "the number " + v.String()
	case []any:
		return "a list"
	}
	return "an object"
}
