package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the number of lines that are queued for a slow writer.
const maxQueuedLines = 1024

// AsyncWriter is an io.WriteCloser that queues lines for another writer and never
// blocks in Write. Lines that do not fit into the queue are dropped and counted. It is
// safe for concurrent use.
type AsyncWriter struct {
	// mu prevents Write from sending on lines after Close has closed the channel.
	mu      sync.RWMutex
	closed  bool
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter to w. It must be closed to write the queued
// lines.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write implements io.Writer. It queues a copy of line and always succeeds.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits until the queued lines are written. Lines written afterwards are
// dropped. It must be called only once.
func (a *AsyncWriter) Close() error {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	<-a.done
	return nil
}
