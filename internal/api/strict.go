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
	rawMessageType  = reflect.TypeFor[json.RawMessage]()
)

// decodeStrict decodes data into the struct that target points to. It adds a
// finding for every unknown field and every mistyped value, with its path below
// prefix; encoding/json reports only the first one. It reports whether the known
// fields could be decoded, in which case their values can be validated too.
func decodeStrict(data []byte, target any, prefix string, list *findings.List) bool {
	var value any
	if err := decodeSingleValue(data, &value); err != nil {
		list.Addf(prefix, "%v", err)
		return false
	}
	mismatches := &findings.List{}
	unknownFields := &findings.List{}
	c := typeChecker{mismatches: mismatches, unknownFields: unknownFields}
	c.checkValue(value, reflect.TypeOf(target).Elem(), "")
	list.Merge(prefix, mismatches)
	list.Merge(prefix, unknownFields)
	if !mismatches.IsEmpty() {
		return false
	}
	if err := json.Unmarshal(data, target); err != nil {
		list.Addf(prefix, "%v", err)
		return false
	}
	return true
}

// decodeSingleValue decodes data into target and returns an error unless data
// holds exactly one JSON value.
func decodeSingleValue(data []byte, target *any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(target); err != nil {
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

// typeChecker compares a decoded JSON value with the Go type that it is to be
// decoded into.
type typeChecker struct {
	mismatches    *findings.List
	unknownFields *findings.List
}

func (c *typeChecker) checkValue(value any, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		if value == nil {
			return
		}
		t = t.Elem()
	}
	switch {
	case t == rawMessageType:
	case reflect.PointerTo(t).Implements(unmarshalerType):
		c.checkScalar(value, t, path)
	case t.Kind() == reflect.Struct:
		c.checkObject(value, t, path)
	case t.Kind() == reflect.Slice:
		items, ok := value.([]any)
		if !ok {
			c.mismatches.Addf(path, "must be a list, got %s", describeValue(value))
			return
		}
		for i, item := range items {
			c.checkValue(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		c.checkScalar(value, t, path)
	}
}

func (c *typeChecker) checkObject(value any, t reflect.Type, path string) {
	object, ok := value.(map[string]any)
	if !ok {
		c.mismatches.Addf(path, "must be an object, got %s", describeValue(value))
		return
	}
	fields := jsonFields(t)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fieldPath := name
		if path != "" {
			fieldPath = path + "." + name
		}
		if field, ok := fields[name]; ok {
			c.checkValue(object[name], field, fieldPath)
			continue
		}
		c.unknownFields.Addf(fieldPath, "is not a known field; known are %s", strings.Join(sortedFieldNames(fields), ", "))
	}
}

// checkScalar checks a value by decoding it with encoding/json.
func (c *typeChecker) checkScalar(value any, t reflect.Type, path string) {
	data, err := json.Marshal(value)
	if err != nil {
		c.mismatches.Addf(path, "%v", err)
		return
	}
	err = json.Unmarshal(data, reflect.New(t).Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		c.mismatches.Addf(path, "must be a %s, got %s", jsonTypeName(t), describeValue(value))
	case err != nil:
		c.mismatches.Addf(path, "%v", err)
	}
}

// jsonFields returns the types of the fields of struct type t, by JSON name.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func sortedFieldNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func jsonTypeName(t reflect.Type) string {
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

func describeValue(value any) string {
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
