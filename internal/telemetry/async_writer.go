package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// asyncLines is how many lines may wait for a slow reader of the log.
const asyncLines = 1024

// AsyncWriter passes lines on without ever blocking its callers. Lines that do not
// fit are dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	// mu keeps Close from running beside a Write.
	mu      sync.RWMutex
	closed  bool
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns an AsyncWriter to w. Close it to write what waits.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
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

// Write implements io.Writer.
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

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the lines that wait. Later ones are dropped.
func (a *AsyncWriter) Close() error {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	<-a.done
	return nil
}
