package routeexplain

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Path is the path of the handler below the prefix of the administration API.
const Path = "/route-explanation"

const (
	maxTextBytes = 2048
	maxTokens    = 10_000_000
)

// Query describes the request that is explained.
type Query struct {
	Method string
	// Host and Path select the route.
	Host string
	Path string
	// Workspace is the name of the caller's workspace; empty for none.
	Workspace    string
	PromptTokens int
	MaxTokens    int
}

// Values returns the query parameters.
func (q *Query) Values() url.Values {
	return url.Values{
		"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "workspace": {q.Workspace},
		"promptTokens": {strconv.Itoa(q.PromptTokens)}, "maxTokens": {strconv.Itoa(q.MaxTokens)},
	}
}

// ParseQuery reads query parameters. faults names each field that is invalid.
func ParseQuery(values url.Values) (q *Query, faults []string) {
	for name, all := range values {
		switch name {
		case "method", "host", "path", "workspace", "promptTokens", "maxTokens":
			if len(all) > 1 {
				faults = append(faults, name+": given more than once")
			}
		default:
			faults = append(faults, fmt.Sprintf("%.32q: unknown field", name))
		}
	}
	q = &Query{Method: values.Get("method"), Host: values.Get("host"), Path: values.Get("path"), Workspace: values.Get("workspace")}
	number := func(name string) int {
		text := values.Get(name)
		if text == "" {
			return 0
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxTokens {
			faults = append(faults, fmt.Sprintf("%s: must be a number from 0 to %d", name, maxTokens))
		}
		return n
	}
	q.PromptTokens, q.MaxTokens = number("promptTokens"), number("maxTokens")
	return q, append(faults, q.faults()...)
}

// faults names each text field that is invalid.
func (q *Query) faults() []string {
	var out []string
	for _, field := range []struct{ name, value string }{{"method", q.Method}, {"host", q.Host}, {"path", q.Path}, {"workspace", q.Workspace}} {
		switch {
		case len(field.value) > maxTextBytes:
			out = append(out, fmt.Sprintf("%s: longer than %d bytes", field.name, maxTextBytes))
		case strings.ContainsFunc(field.value, func(r rune) bool { return r <= ' ' || r == 0x7f }):
			out = append(out, field.name+": contains a space or a control character")
		}
	}
	if q.Method == "" {
		out = append(out, "method: required")
	}
	if q.Host == "" {
		out = append(out, "host: required")
	}
	if !strings.HasPrefix(q.Path, "/") {
		out = append(out, "path: must begin with a slash")
	}
	return out
}
