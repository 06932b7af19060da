package responsetest

import (
	"strconv"
	"strings"
)

// InvalidStatus returns responses whose status lines a reader must reject, by what is wrong
// with them. Most would be complete otherwise.
func InvalidStatus(body string) map[string]Response {
	responses := map[string]Response{}
	for name, line := range map[string]string{
		"status 000":            "HTTP/1.1 000 Trouble",
		"status 000, no reason": "HTTP/1.1 000",
		"status 099":            "HTTP/1.1 099 Trouble",
		"signed status":         "HTTP/1.1 +20 OK",
		"status 101 unasked":    "HTTP/1.1 101 Switching Protocols",
		"status 600":            "HTTP/1.1 600 Trouble",
		"status 999":            "HTTP/1.1 999 Trouble",
		"status of two digits":  "HTTP/1.1 20 OK",
		"status of four digits": "HTTP/1.1 2000 OK",
		"two spaces":            "HTTP/1.1  200 OK",
		"tab after the version": "HTTP/1.1\t200 OK",
		"tab after the status":  "HTTP/1.1 200\tOK",
		"control in the reason": "HTTP/1.1 200 O\x01K",
		"NUL in the reason":     "HTTP/1.1 200 OK\x00",
		"return in the reason":  "HTTP/1.1 200 O\rK",
		"version 0.9":           "HTTP/0.9 200 OK",
		"version 2.0":           "HTTP/2.0 200 OK",
		"version of two digits": "HTTP/1.10 200 OK",
		"lower case":            "http/1.1 200 OK",
		"other protocol":        "SSH-2.0-x",
	} {
		responses[name] = Response{Head: line + "\r\n" + length(body), Body: body}
	}
	sound := ok + length(body)
	responses["status 000 without a body"] = Response{Head: "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n"}
	responses["status 000 before another response"] = Response{Before: "HTTP/1.1 000 Trouble\r\n\r\n", Head: sound, Body: body}
	responses["status 101 before another response"] = Response{Before: "HTTP/1.1 101 Switching Protocols\r\n\r\n", Head: sound, Body: body}
	responses["invalid status after an interim response"] = Response{Before: "HTTP/1.1 103 Early Hints\r\n\r\n", Head: "HTTP/1.1 000 Trouble\r\n" + length(body), Body: body}
	responses["empty line first"] = Response{Before: "\r\n", Head: sound, Body: body}
	return responses
}

// InvalidFields returns responses with field lines that a reader must reject, by what is
// wrong with them. Most would be complete otherwise.
func InvalidFields(body string) map[string]Response {
	responses := map[string]Response{}
	for name, line := range map[string]string{
		"space in a name":        "X Trouble: 1",
		"space before the colon": "X-Trouble : 1",
		"tab before the colon":   "X-Trouble\t: 1",
		"control in a name":      "X-\x01Trouble: 1",
		"NUL in a name":          "X-\x00Trouble: 1",
		"DEL in a name":          "X-\x7fTrouble: 1",
		"return in a name":       "X-\rTrouble: 1",
		"other octet in a name":  "X-\xe9: 1",
		"separator in a name":    "X(Trouble): 1",
		"empty name":             ": 1",
		"no colon":               "X-Trouble",
		"control in a value":     "X-Trouble: a\x01b",
		"NUL in a value":         "X-Trouble: a\x00b",
		"return in a value":      "X-Trouble: a\rb",
		"two returns at the end": "X-Trouble: a\r",
		"control in a fold":      "X-Trouble: a\r\n \x01b",
		"space before a name":    " X-Trouble: 1",
		"only a space as a line": " ",
	} {
		responses[name] = Response{Head: ok + line + "\r\n" + length(body), Body: body}
	}
	responses["length with a space before the colon"] = Response{Head: ok + strings.Replace(length(body), ":", " :", 1), Body: body + body}
	responses["encoding with a space before the colon"] = Response{Head: ok + "Transfer-Encoding : chunked\r\n", Body: chunks(body)}
	responses["encoding with a control"] = Response{Head: ok + "Transfer-\x0bEncoding: chunked\r\n", Body: chunks(body)}
	responses["space in a name of an interim response"] = Response{Before: "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\n", Head: ok + length(body), Body: body}
	return responses
}

// InvalidLengths returns responses whose heads are wrong about the end of the body.
func InvalidLengths(body string) map[string]Response {
	responses := map[string]Response{
		"chunks in HTTP/1.0":            {Head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", Body: chunks(body)},
		"length and chunks in HTTP/1.0": {Head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + length(body), Body: chunks(body)},
		"length and chunks":             {Head: ok + length(body) + "Transfer-Encoding: chunked\r\n", Body: chunks(body)},
		"chunks of no content":          {Head: "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n", Body: chunks(body)},
		"length of no content":          {Head: "HTTP/1.1 204 No Content\r\n" + length(body), Body: body},
		"chunked twice":                 {Head: ok + "Transfer-Encoding: chunked, chunked\r\n", Body: chunks(body)},
		"chunked in two fields":         {Head: ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", Body: chunks(body)},
		"unknown encoding":              {Head: ok + "Transfer-Encoding: sixfold\r\n", Body: chunks(body)},
		"empty encoding":                {Head: ok + "Transfer-Encoding:\r\n" + length(body), Body: body},
		"length of an interim response": {Before: "HTTP/1.1 103 Early Hints\r\n" + length(body) + "\r\n", Head: ok + length(body), Body: body},
		"chunks of an interim response": {Before: "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", Head: ok + length(body), Body: body},
	}
	size := strconv.Itoa(len(body))
	for name, lengths := range map[string]string{
		"two lengths":             length(body) + "Content-Length: 4\r\n",
		"list of lengths":         "Content-Length: " + size + ", 4\r\n",
		"negative length":         "Content-Length: -1\r\n",
		"signed length":           "Content-Length: +" + size + "\r\n",
		"hexadecimal length":      "Content-Length: 0x" + size + "\r\n",
		"empty length":            "Content-Length:\r\n",
		"overflowing length":      "Content-Length: 99999999999999999999\r\n",
		"folded length":           "Content-Length: " + size + "\r\n 0\r\n",
		"length that is no digit": "Content-Length: five\r\n",
	} {
		responses[name] = Response{Head: ok + lengths, Body: body}
	}
	return responses
}

// Invalid returns the responses of InvalidStatus, InvalidFields and InvalidLengths.
func Invalid(body string) map[string]Response {
	all := map[string]Response{}
	for _, responses := range []map[string]Response{InvalidStatus(body), InvalidFields(body), InvalidLengths(body)} {
		for name, response := range responses {
			all[name] = response
		}
	}
	return all
}
