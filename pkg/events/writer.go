package events

import (
	"io"
	"sync"
	"sync/atomic"
)

// bufferedLines is the number of log lines that wait for a slow reader at most.
const bufferedLines = 4096

// Writer hands log lines to another writer in a goroutine of its own, so that a
// reader that stops reading delays nothing. Lines beyond the buffer are dropped
// and counted.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Uint64
	done    sync.WaitGroup
	close   sync.Once
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), out: out}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer. It never blocks and never fails; p is one line.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the lines that were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is buffered, as far as the reader takes it. No Write may
// follow.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.lines) })
	w.done.Wait()
}

func (w *Writer) run() {
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is no other place to report it
	}
}
