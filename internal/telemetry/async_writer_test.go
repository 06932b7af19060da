package telemetry

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer that blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	written bytes.Buffer
}

// Write implements io.Writer.
func (b *blockingWriter) Write(line []byte) (int, error) {
	<-b.release
	return b.written.Write(line)
}

// Guards against requests that block on a slow log writer, lines that are dropped
// without being counted, and a write after Close that panics.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	blocking := &blockingWriter{release: make(chan struct{})}
	w := NewAsyncWriter(blocking)
	const lines = maxQueuedLines + 100
	for range lines {
		_, err := w.Write([]byte("x"))
		assert.NilError(t, err)
	}
	dropped := w.Dropped()
	assert.Assert(t, dropped >= lines-maxQueuedLines-1 && dropped <= lines-maxQueuedLines, "%d", dropped)
	close(blocking.release)
	assert.NilError(t, w.Close())
	assert.Equal(t, int64(blocking.written.Len()), lines-dropped)
	_, err := w.Write([]byte("late"))
	assert.NilError(t, err)
	assert.Equal(t, w.Dropped(), dropped+1)
}
