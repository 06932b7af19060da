package relay

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// maxPending is how many bytes a Writer collects before it passes them on
// without an explicit Flush.
const maxPending = 32 << 10

// Writer writes server-sent events to an HTTP response. It is used by one
// goroutine at a time.
type Writer struct {
	response http.ResponseWriter
	control  *http.ResponseController
	pending  []byte
}

// NewWriter returns a Writer to w and sets the headers of an event stream that
// w does not have yet.
func NewWriter(w http.ResponseWriter) *Writer {
	header := w.Header()
	if header.Get("Content-Type") == "" {
		header.Set("Content-Type", "text/event-stream")
	}
	if header.Get("Cache-Control") == "" {
		header.Set("Cache-Control", "no-store")
	}
	return &Writer{response: w, control: http.NewResponseController(w)}
}

// Write collects an event; Flush sends it. An event without a number is
// written without an id line.
func (w *Writer) Write(e Event) error {
	if e.ID != 0 {
		w.pending = append(w.pending, "id: "...)
		w.pending = strconv.AppendInt(w.pending, e.ID, 10)
		w.pending = append(w.pending, '\n')
	}
	w.appendLines("data: ", e.Data)
	w.pending = append(w.pending, '\n')
	return w.bound()
}

// Comment collects a comment, which every compliant parser ignores.
func (w *Writer) Comment(text string) error {
	w.appendLines(": ", []byte(text))
	w.pending = append(w.pending, '\n')
	return w.bound()
}

// Send writes an event and flushes it.
func (w *Writer) Send(e Event) error {
	if err := w.Write(e); err != nil {
		return err
	}
	return w.Flush()
}

// Flush sends what was collected, and the headers when nothing was.
func (w *Writer) Flush() error {
	if err := w.pass(); err != nil {
		return err
	}
	return errors.Trace(w.control.Flush())
}

func (w *Writer) bound() error {
	if len(w.pending) < maxPending {
		return nil
	}
	return w.pass()
}

func (w *Writer) pass() error {
	if len(w.pending) == 0 {
		return nil
	}
	_, err := w.response.Write(w.pending)
	w.pending = w.pending[:0]
	return errors.Trace(err)
}

// appendLines writes each line of text behind prefix. CR and CRLF end a line
// as LF does, because a reader takes them so.
func (w *Writer) appendLines(prefix string, text []byte) {
	for {
		w.pending = append(w.pending, prefix...)
		at := bytes.IndexByte(text, '\n')
		line := text
		if at >= 0 {
			line = text[:at]
		}
		if cr := bytes.IndexByte(line, '\r'); cr >= 0 {
			at, line = cr, text[:cr]
		}
		w.pending = append(append(w.pending, line...), '\n')
		if at < 0 {
			return
		}
		if text[at] == '\r' && at+1 < len(text) && text[at+1] == '\n' {
			at++
		}
		text = text[at+1:]
	}
}
