package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// condition returns the current value and whether the condition holds.
type condition func() (string, bool)

func cmdWait(ts *testscript.TestScript, s *state, args []string) {
	limit := defaultWait
	if len(args) > 2 && args[0] == "-for" {
		d, err := time.ParseDuration(args[1])
		ts.Check(err)
		limit, args = d, args[2:]
	}
	check := s.parse(ts, args)
	if !until(limit, func() bool { _, ok := check(); return ok }) {
		got, _ := check()
		s.fail(ts, "after %v: %s (is %s)", limit, strings.Join(args, " "), got)
	}
}

func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	if got, ok := s.parse(ts, args)(); ok == neg {
		s.fail(ts, "unexpected: %s (is %s, negated %v)", strings.Join(args, " "), got, neg)
	}
}

// parse reads "SUBJECT NAME ... OP VALUE".
func (s *state) parse(ts *testscript.TestScript, args []string) condition {
	if len(args) < 4 {
		ts.Fatalf("not a condition: %q", args)
	}
	subject, name, rest := args[0], args[1], args[2:len(args)-2]
	op, want := args[len(args)-2], args[len(args)-1]
	read := s.reader(ts, subject, name, rest)
	return func() (string, bool) {
		got, err := read()
		if err != nil {
			return err.Error(), false
		}
		ok, err := compare(got, op, want)
		ts.Check(err)
		return got, ok
	}
}

func (s *state) reader(ts *testscript.TestScript, subject, name string, rest []string) func() (string, error) {
	one := func(n int) {
		if len(rest) != n {
			ts.Fatalf("condition %s takes %d words before the operator", subject, n+2)
		}
	}
	switch subject {
	case "stream":
		one(1)
		group := s.streams[name]
		if group == nil {
			ts.Fatalf("no stream is named %q", name)
		}
		return func() (string, error) { return group.field(rest[0]) }
	case "order":
		one(1)
		group := s.orders[name]
		if group == nil {
			ts.Fatalf("no order is named %q", name)
		}
		return func() (string, error) { return group.field(rest[0]) }
	case "log":
		want, _ := pairs(rest)
		return func() (string, error) {
			entries, err := s.calls(name, want)
			return strconv.Itoa(len(entries)), err
		}
	case "stat":
		one(1)
		p := s.find(ts, name)
		return func() (string, error) { return lookup(p.address, "/control/stats", rest[0]) }
	case "get":
		one(2)
		p := s.find(ts, name)
		return func() (string, error) { return lookup(p.address, rest[0], rest[1]) }
	case "answer":
		one(1)
		p := s.find(ts, name)
		return func() (string, error) { return probe(p.address, rest[0]) }
	case "versions":
		one(1)
		p := s.find(ts, name)
		return func() (string, error) { return probeVersions(p.address, rest[0]) }
	case "exit":
		one(0)
		p := s.find(ts, name)
		return func() (string, error) {
			if !p.exited() {
				return "", fmt.Errorf("%s runs", name)
			}
			return strconv.Itoa(p.code()), nil
		}
	}
	ts.Fatalf("unknown condition %q", subject)
	return nil
}

// calls returns the entries of call logs whose fields have the wanted values.
// The logs are files, so that they outlive a process that was killed.
func (s *state) calls(name string, want map[string]string) ([]map[string]any, error) {
	files, err := filepath.Glob(s.callLog(name))
	if err != nil {
		return nil, err
	}
	var out []map[string]any
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(content))
		lines.Buffer(nil, 1<<20)
	next:
		for lines.Scan() {
			var entry map[string]any
			if json.Unmarshal(lines.Bytes(), &entry) != nil {
				continue
			}
			for key, value := range want {
				if entry[key] == nil || fmt.Sprint(entry[key]) != value {
					continue next
				}
			}
			out = append(out, entry)
		}
	}
	return out, nil
}

// lookup reads a field of a JSON answer. Its path is separated by dots, and a
// number selects an element of a list; "len" is the length of a list.
func lookup(address, path, field string) (string, error) {
	value, err := fetch(address, path)
	if err != nil {
		return "", err
	}
	for _, part := range strings.Split(field, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[part]
		case []any:
			if part == "len" {
				value = float64(len(container))
				continue
			}
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(container) {
				return "", fmt.Errorf("no element %s", part)
			}
			value = container[i]
		default:
			return "", fmt.Errorf("no field %s", part)
		}
	}
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64), nil
	}
	return fmt.Sprint(value), nil
}

// compare compares numbers as numbers and everything else as text.
func compare(got, op, want string) (bool, error) {
	g, errG := strconv.ParseFloat(got, 64)
	w, errW := strconv.ParseFloat(want, 64)
	numbers := errG == nil && errW == nil
	switch op {
	case "==":
		return got == want || numbers && g == w, nil
	case "!=":
		return got != want && !(numbers && g == w), nil
	}
	if errW != nil {
		return false, fmt.Errorf("%q is not a number", want)
	}
	switch op {
	case "<":
		return numbers && g < w, nil
	case "<=":
		return numbers && g <= w, nil
	case ">":
		return numbers && g > w, nil
	case ">=":
		return numbers && g >= w, nil
	}
	return false, fmt.Errorf("unknown operator %q", op)
}
