package responsetest

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

// Invalid returns all responses with invalid heads.
func Invalid(body string) map[string]Response {
	all := map[string]Response{}
	for _, responses := range []map[string]Response{InvalidStatus(body)} {
		for name, response := range responses {
			all[name] = response
		}
	}
	return all
}
