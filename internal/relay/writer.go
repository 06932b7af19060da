package relay

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// maxPendingBytes is the number of buffered bytes at which a Writer writes its buffer
// to the response without waiting for Flush.
const maxPendingBytes = 32 << 10

// Writer writes server-sent events to an HTTP response. It is used by one goroutine
// at a time.
type Writer struct {
	response http.ResponseWriter
	control  *http.ResponseController
	pending  []byte
}

// NewWriter returns a Writer to w. It sets the Content-Type and Cache-Control
// headers of an event stream unless they are already set.
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

// Write buffers an event; Flush sends it. An event without a number is written
// without an id line.
func (w *Writer) Write(e Event) error {
	if e.ID != 0 {
		w.pending = append(w.pending, "id: "...)
		w.pending = strconv.AppendInt(w.pending, e.ID, 10)
		w.pending = append(w.pending, '\n')
	}
	w.appendLines("data: ", e.Data)
	w.pending = append(w.pending, '\n')
	return w.writePendingIfFull()
}

// Comment buffers a comment; Flush sends it. Compliant parsers ignore comments.
func (w *Writer) Comment(text string) error {
	w.appendLines(": ", []byte(text))
	w.pending = append(w.pending, '\n')
	return w.writePendingIfFull()
}

// Send writes an event and flushes it.
func (w *Writer) Send(e Event) error {
	if err := w.Write(e); err != nil {
		return err
	}
	return w.Flush()
}

// Flush sends the buffered bytes. It also sends the headers if they have not been
// sent, even if no bytes are buffered.
func (w *Writer) Flush() error {
	if err := w.writePending(); err != nil {
		return err
	}
	return errors.Trace(w.control.Flush())
}

func (w *Writer) writePendingIfFull() error {
	if len(w.pending) < maxPendingBytes {
		return nil
	}
	return w.writePending()
}

func (w *Writer) writePending() error {
	if len(w.pending) == 0 {
		return nil
	}
	_, err := w.response.Write(w.pending)
	w.pending = w.pending[:0]
	return errors.Trace(err)
}

// appendLines buffers each line of text after prefix. CR and CRLF end a line like
// LF, because readers treat them as line ends too.
func (w *Writer) appendLines(prefix string, text []byte) {
	for {
		w.pending = append(w.pending, prefix...)
		lineEnd := bytes.IndexByte(text, '\n')
		line := text
		if lineEnd >= 0 {
			line = text[:lineEnd]
		}
		if cr := bytes.IndexByte(line, '\r'); cr >= 0 {
			lineEnd, line = cr, text[:cr]
		}
		w.pending = append(append(w.pending, line...), '\n')
		if lineEnd < 0 {
			return
		}
		if text[lineEnd] == '\r' && lineEnd+1 < len(text) && text[lineEnd+1] == '\n' {
			lineEnd++
		}
		text = text[lineEnd+1:]
	}
}
