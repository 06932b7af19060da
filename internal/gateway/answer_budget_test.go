package gateway

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an upstream that uses up what the answers of other upstreams need, and
// against parts that are not given back.
func TestAnswerBudget(t *testing.T) {
	var b answerBudget
	var held []*heldBytes
	take := func(upstream string) bool {
		h := &heldBytes{budget: &b, upstream: upstream}
		held = append(held, h)
		return h.set(maxEventBytes)
	}
	granted := 0
	for take("faulty") {
		granted++
	}
	assert.Equal(t, granted, maxHeldBytesPerUpstream/(maxEventBytes-freeHeldBytes))
	assert.Assert(t, take("sound"))
	for i := range 20 {
		for take(strings.Repeat("f", i+1)) {
			continue
		}
	}
	assert.Assert(t, b.held <= maxHeldBytes)
	small := &heldBytes{budget: &b, upstream: "faulty"}
	assert.Assert(t, small.set(freeHeldBytes), "a small answer needs no budget")
	for _, h := range held {
		h.release()
	}
	assert.Equal(t, b.held, 0)
	assert.Equal(t, len(b.byUpstream), 0)
}

// Guards against a cost that grows with the square of an event's size, because its bytes are
// searched again with each read, and against events that change when they come in pieces.
func TestEventSplitterSearchesBytesOnce(t *testing.T) {
	text := []byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\ndata: c\n" + strings.Repeat("data: x\n", 2000) + "\n: end")
	for size := 1; size <= len(text); size += 1 + size/2 {
		var s eventSplitter
		var out []byte
		searched := 0
		for at := 0; at < len(text); at += size {
			before := len(s.remainder())
			ready, tooLarge := s.add(text[at:min(at+size, len(text))])
			assert.Assert(t, !tooLarge)
			searched += s.searched - before
			out = append(out, ready...)
		}
		assert.Assert(t, bytes.Equal(append(out, s.remainder()...), text))
		assert.Equal(t, searched, len(text))
		assert.Equal(t, s.count, 4)
		assert.Equal(t, s.lastID, "2")
	}
}

// Guards against memory that a splitter keeps after a large event.
func TestEventSplitterShrinks(t *testing.T) {
	var s eventSplitter
	s.add([]byte(strings.Repeat("data: x\n", 4000)))
	s.add([]byte("\n"))
	s.add([]byte("data: y\n\n"))
	assert.Equal(t, s.heldBytes(), initialEventBytes)
}
