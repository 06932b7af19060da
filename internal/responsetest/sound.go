package responsetest

import (
	"fmt"
	"strconv"
	"strings"
)

const ok = "HTTP/1.1 200 OK\r\n"

// length returns the field that states the length of a body.
func length(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n" }

// chunks returns a body in one chunk.
func chunks(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// Sound returns responses with a body, whose heads a reader must accept, by what is special
// about them.
func Sound(body string) map[string]Response {
	responses := map[string]Response{}
	for name, head := range map[string]string{
		"a length":                   ok + length(body),
		"no reason":                  "HTTP/1.1 200 \r\n" + length(body),
		"no space before no reason":  "HTTP/1.1 200\r\n" + length(body),
		"a tab in the reason":        "HTTP/1.1 200 all\tright\r\n" + length(body),
		"other octets in the reason": "HTTP/1.1 200 \xc3\xa9t\xe9\r\n" + length(body),
		"an unknown status":          "HTTP/1.1 299 Odd\r\n" + length(body),
		"a later minor version":      "HTTP/1.2 200 OK\r\n" + length(body),
		"line feeds only":            strings.ReplaceAll(ok+length(body), "\r", ""),
		"equal lengths":              ok + length(body) + length(body),
		"spaces around a length":     ok + "Content-Length: \t " + strconv.Itoa(len(body)) + " \t\r\n",
		"a folded field":             ok + "X-A: one\r\n two\r\n" + length(body),
		"an empty value":             ok + "X-A:\r\n" + length(body),
		"other octets in a value":    ok + "X-A: \xc3\xa9t\xe9\tx\r\n" + length(body),
		"all octets of a name":       ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n" + length(body),
		"a length in HTTP/1.0":       "HTTP/1.0 200 OK\r\n" + length(body),
	} {
		responses[name] = Response{Head: head, Body: body}
	}
	responses["chunks"] = Response{Head: ok + "transfer-encoding: Chunked\r\n", Body: chunks(body)}
	responses["a folded encoding"] = Response{Head: ok + "Transfer-Encoding:\r\n chunked\r\n", Body: chunks(body)}
	for _, line := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"} {
		responses["after "+line] = Response{Before: "HTTP/1.1 " + line + "\r\nX-A: b\r\n\r\n", Head: ok + length(body), Body: body}
	}
	return responses
}
