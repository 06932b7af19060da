package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func readAll(r *Reader) ([]Event, error) {
	var out []Event
	for {
		e, err := r.Next()
		if err != nil {
			return out, err
		}
		out = append(out, Event{ID: e.ID, Data: bytes.Clone(e.Data)})
	}
}

// TestReaderLineEndsAndSplits guards against results that depend on how the network
// splits the bytes or on the kind of line end.
func TestReaderLineEndsAndSplits(t *testing.T) {
	text := "\xef\xbb\xbf: hello\n\nid: 1\ndata: a\n\nid:2\ndata:b\ndata:  c\n\nretry: 5\nevent: x\n\ndata\n\nid: 4\nother: y\ndata: d\n\n"
	want := []Event{{1, []byte("a")}, {2, []byte("b\n c")}, {0, []byte{}}, {4, []byte("d")}}
	for _, end := range []string{"\n", "\r\n", "\r"} {
		input := strings.ReplaceAll(text, "\n", end)
		for name, source := range map[string]io.Reader{
			"whole": strings.NewReader(input), "bytes": iotest.OneByteReader(strings.NewReader(input)),
			"halves": iotest.HalfReader(strings.NewReader(input)), "data with EOF": iotest.DataErrReader(strings.NewReader(input)),
		} {
			comments := 0
			r := NewReader(source, 0)
			r.OnComment = func(text []byte) { comments++; assert.Equal(t, string(text), "hello") }
			got, err := readAll(r)
			assert.Equal(t, err, io.EOF, "%q %s", end, name)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, comments, 1)
		}
	}
}

// TestReaderErrors guards against treating a broken stream as complete, and against
// errors that change on further calls.
func TestReaderErrors(t *testing.T) {
	for _, c := range []struct {
		input string
		limit int
		check func(error) bool
	}{
		{"data: a\n", 0, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"data: a", 0, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"id: 1x\n\n", 0, func(err error) bool { var f *FormatError; return errors.As(err, &f) }},
		{"id: 9223372036854775808\n\n", 0, func(err error) bool { var f *FormatError; return errors.As(err, &f) }},
		{"data: " + strings.Repeat("x", 100) + "\n\n", 100, func(err error) bool { var s *SizeError; return errors.As(err, &s) && s.Limit == 100 }},
		{strings.Repeat("data: x\n", 100), 100, func(err error) bool { var s *SizeError; return errors.As(err, &s) }},
	} {
		r := NewReader(iotest.OneByteReader(strings.NewReader(c.input)), c.limit)
		_, err := readAll(r)
		assert.Assert(t, c.check(err), "%q: %v", c.input, err)
		_, again := r.Next()
		assert.Equal(t, again, err)
	}
}

// TestReaderLimitIsPerEvent guards against comments that count towards the size of
// an event, and against a limit on the buffered bytes instead of the event.
func TestReaderLimitIsPerEvent(t *testing.T) {
	input := strings.Repeat(": keep-alive\n", 100) + strings.Repeat("data: "+strings.Repeat("x", 92)+"\n\n", 50)
	got, err := readAll(NewReader(strings.NewReader(input), 100))
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, len(got), 50)
}

// TestWriterRoundTrip guards against line ends in a payload or comment that inject
// fields into the stream.
func TestWriterRoundTrip(t *testing.T) {
	events := []Event{{1, []byte("a")}, {0, []byte("x\ny")}, {3, []byte("p\r\nq\rr\n")}, {4, []byte{}}}
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	assert.NilError(t, w.Comment("successor 127.0.0.1:1\nid: 9"))
	for _, e := range events {
		assert.NilError(t, w.Send(e))
	}
	got, err := readAll(NewReader(recorder.Body, 0))
	assert.Equal(t, err, io.EOF)
	events[2].Data = []byte("p\nq\nr\n")
	assert.DeepEqual(t, got, events)
	assert.Equal(t, recorder.Header().Get("Content-Type"), "text/event-stream")
}

func tokenStream(events int) []byte {
	var b bytes.Buffer
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"chatcmpl-0123456789\",\"object\":\"chat.completion.chunk\",\"created\":1764820000,\"model\":\"draft\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" engrave\"},\"finish_reason\":null}]}\n\n", i+1)
	}
	return b.Bytes()
}

// TestReaderDoesNotAllocatePerEvent guards against an allocation per event, which
// would cost more than the parsing at the target rate.
func TestReaderDoesNotAllocatePerEvent(t *testing.T) {
	r := NewReader(bytes.NewReader(tokenStream(2000)), 0)
	assert.Equal(t, testing.AllocsPerRun(1500, func() {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
	}), 0.0)
}

// FuzzReader checks that events are the same whether the input is read at once or
// byte by byte, and that they are unchanged after being written and read again.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"data: a\n\n", "id: 1\r\ndata: a\r\ndata: b\r\n\r\n", ":c\r\rdata\r\r", "\xef\xbb\xbfid: 7\ndata:x\n\n", "id: -\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 256
		whole, wholeErr := readAll(NewReader(bytes.NewReader(input), limit))
		split, splitErr := readAll(NewReader(iotest.OneByteReader(bytes.NewReader(input)), limit))
		assert.DeepEqual(t, whole, split)
		assert.DeepEqual(t, fmt.Sprint(wholeErr), fmt.Sprint(splitErr))
		recorder := httptest.NewRecorder()
		w := NewWriter(recorder)
		for _, e := range whole {
			assert.NilError(t, w.Write(e))
		}
		assert.NilError(t, w.Flush())
		again, err := readAll(NewReader(recorder.Body, 0))
		assert.Equal(t, err, io.EOF)
		assert.DeepEqual(t, again, whole)
	})
}

func BenchmarkReader(b *testing.B) {
	stream := tokenStream(1000)
	source := bytes.NewReader(stream)
	r := NewReader(source, 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Next(); err != nil {
			source.Reset(stream)
			r = NewReader(source, 0)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
