package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// bufferedLines is the number of log lines that wait for a slow reader at most.
const bufferedLines = 4096

// closeTime bounds how long a reader that has stopped reading delays the end of
// the process.
const closeTime = time.Second

// Writer hands log lines to another writer in a goroutine of its own, so that a
// reader that stops reading delays nothing. Lines beyond the buffer are dropped
// and counted.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Uint64
	done    chan struct{}
	close   sync.Once
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), out: out, done: make(chan struct{})}
	go w.run()
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

// Close writes what is buffered, as far as the reader takes it within closeTime.
// No Write may follow.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is no other place to report it
	}
}
