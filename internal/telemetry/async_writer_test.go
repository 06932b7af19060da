package telemetry

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// blocked is a reader of the log that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	text    bytes.Buffer
}

// Write implements io.Writer.
func (b *blocked) Write(line []byte) (int, error) {
	<-b.release
	return b.text.Write(line)
}

// Guards against a slow reader of the log that holds requests up, lines that are
// lost uncounted, and a late line that ends the process.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	reader := &blocked{release: make(chan struct{})}
	w := NewAsyncWriter(reader)
	const lines = asyncLines + 100
	for range lines {
		_, err := w.Write([]byte("x"))
		assert.NilError(t, err)
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped >= lines-asyncLines-1 && dropped <= lines-asyncLines, "%d", dropped)
	close(reader.release)
	assert.NilError(t, w.Close())
	assert.Equal(t, int64(reader.text.Len()), lines-dropped)
	_, err := w.Write([]byte("late"))
	assert.NilError(t, err)
	assert.Equal(t, w.Dropped(), dropped+1)
}
