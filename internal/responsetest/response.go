package responsetest

// Response is what a server sends in reply to a request.
type Response struct {
	// Before precedes the head.
	Before string
	// Head is the status line and the fields, each with its line end.
	Head string
	// Body follows the empty line.
	Body string
}

// Text returns the bytes of the response with further fields, each with its line end.
func (r Response) Text(fields string) string { return r.Before + r.Head + fields + "\r\n" + r.Body }
