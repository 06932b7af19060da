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

// condition evaluates a condition and returns the current value, or an error text, and
// whether the condition holds.
type condition func() (string, bool)

// cmdAwait implements await: it polls a condition until it holds or time is up.
func cmdAwait(ts *testscript.TestScript, s *scriptState, args []string) {
	limit := defaultTimeout
	if len(args) > 2 && args[0] == "-for" {
		d, err := time.ParseDuration(args[1])
		ts.Check(err)
		limit, args = d, args[2:]
	}
	check := s.parseCondition(ts, args)
	if !pollUntil(limit, func() bool { _, ok := check(); return ok }) {
		got, _ := check()
		s.failWithDiagnostics(ts, "condition not met within %v: %s (current value %s)", limit, strings.Join(args, " "), got)
	}
}

// cmdExpect implements expect and its negation.
func cmdExpect(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	if got, ok := s.parseCondition(ts, args)(); ok == neg {
		s.failWithDiagnostics(ts, "condition not met: %s (current value %s, negated %v)", strings.Join(args, " "), got, neg)
	}
}

// parseCondition parses "SUBJECT NAME ... OP VALUE".
func (s *scriptState) parseCondition(ts *testscript.TestScript, args []string) condition {
	if len(args) < 4 {
		ts.Fatalf("condition %q has fewer than four words", args)
	}
	subject, name, rest := args[0], args[1], args[2:len(args)-2]
	op, want := args[len(args)-2], args[len(args)-1]
	read := s.valueReader(ts, subject, name, rest)
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

// valueReader returns a function that reads the current value of the left side of a
// condition.
func (s *scriptState) valueReader(ts *testscript.TestScript, subject, name string, words []string) func() (string, error) {
	requireWords := func(n int) {
		if len(words) != n {
			ts.Fatalf("condition %s takes %d words before the operator", subject, n+2)
		}
	}
	switch subject {
	case "stream":
		requireWords(1)
		group := s.streams[name]
		if group == nil {
			ts.Fatalf("unknown stream %q", name)
		}
		return func() (string, error) { return group.field(words[0]) }
	case "order":
		requireWords(1)
		group := s.orders[name]
		if group == nil {
			ts.Fatalf("unknown order %q", name)
		}
		return func() (string, error) { return group.field(words[0]) }
	case "log":
		want, _ := splitPairs(words)
		return func() (string, error) {
			entries, err := s.callLogEntries(name, want)
			return strconv.Itoa(len(entries)), err
		}
	case "stat":
		requireWords(1)
		p := s.mustProcess(ts, name)
		return func() (string, error) { return readField(p.address, "/control/stats", words[0]) }
	case "get":
		requireWords(2)
		p := s.mustProcess(ts, name)
		return func() (string, error) { return readField(p.address, words[0], words[1]) }
	case "answer":
		requireWords(1)
		p := s.mustProcess(ts, name)
		return func() (string, error) { return probeStatus(p.address, words[0]) }
	case "versions":
		requireWords(1)
		p := s.mustProcess(ts, name)
		return func() (string, error) { return probeVersions(p.address, words[0]) }
	case "exit":
		requireWords(0)
		p := s.mustProcess(ts, name)
		return func() (string, error) {
			if !p.hasExited() {
				return "", fmt.Errorf("%s is still running", name)
			}
			return strconv.Itoa(p.exitCode()), nil
		}
	}
	ts.Fatalf("unknown condition %q", subject)
	return nil
}

// callLogEntries returns the entries of the call logs of a process, or of all
// processes for "*", whose fields have the wanted values. It reads the log files
// instead of asking the processes, because a process may have been killed.
func (s *scriptState) callLogEntries(name string, want map[string]string) ([]map[string]any, error) {
	files, err := filepath.Glob(s.callLogPath(name))
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

// readField fetches a JSON document and returns one of its fields as text. The
// components of field are separated by dots; a number selects an element of a list,
// and "len" its length.
func readField(address, path, field string) (string, error) {
	value, err := fetchJSON(address, path)
	if err != nil {
		return "", err
	}
	for _, component := range strings.Split(field, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[component]
		case []any:
			if component == "len" {
				value = float64(len(container))
				continue
			}
			i, err := strconv.Atoi(component)
			if err != nil || i < 0 || i >= len(container) {
				return "", fmt.Errorf("list has no element %s", component)
			}
			value = container[i]
		default:
			return "", fmt.Errorf("no field %s in a scalar value", component)
		}
	}
	if number, ok := value.(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64), nil
	}
	return fmt.Sprint(value), nil
}

// compare evaluates an operator. It compares two numbers numerically, and == and !=
// compare anything else as text. An order relation needs a number as want, and does
// not hold if got is not a number.
func compare(got, op, want string) (bool, error) {
	gotNumber, gotErr := strconv.ParseFloat(got, 64)
	wantNumber, wantErr := strconv.ParseFloat(want, 64)
	areNumbers := gotErr == nil && wantErr == nil
	switch op {
	case "==":
		return got == want || areNumbers && gotNumber == wantNumber, nil
	case "!=":
		return got != want && !(areNumbers && gotNumber == wantNumber), nil
	}
	if wantErr != nil {
		return false, fmt.Errorf("%q is not a number", want)
	}
	switch op {
	case "<":
		return areNumbers && gotNumber < wantNumber, nil
	case "<=":
		return areNumbers && gotNumber <= wantNumber, nil
	case ">":
		return areNumbers && gotNumber > wantNumber, nil
	case ">=":
		return areNumbers && gotNumber >= wantNumber, nil
	}
	return false, fmt.Errorf("unknown operator %q", op)
}
