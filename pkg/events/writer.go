package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the number of log lines that are buffered for a slow reader, and
	// maxBufferedBytes the length of all of them.
	maxBufferedLines = 4096
	maxBufferedBytes = 2 << 20
)

// closeTimeout bounds how long a stalled reader delays Close and so the exit of
// the process.
const closeTimeout = time.Second

// Writer is an asynchronous io.Writer for log lines. A background goroutine
// writes the lines to another writer, so that a stalled reader does not block
// Write. Lines that do not fit into the buffer of 4,096 lines and 2 MiB are dropped and
// counted.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	bytes   atomic.Int64 // of the buffered lines
	dropped atomic.Uint64
	done    chan struct{}

	mu       sync.RWMutex
	isClosed bool // lines is closed
}

// NewWriter returns a Writer that writes to out. The caller must call Close to end
// its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), out: out, done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a copy of p, which must be one line. It never blocks and never
// returns an error. Lines after Close are dropped, because requests may still end
// while the process exits. Write implements io.Writer.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.isClosed {
		w.dropped.Add(1)
		return len(p), nil
	}
	if w.bytes.Add(int64(len(p))) <= maxBufferedBytes {
		select {
		case w.lines <- append([]byte(nil), p...):
			return len(p), nil
		default:
		}
	}
	w.bytes.Add(-int64(len(p)))
	w.dropped.Add(1)
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits at most 1 s until the buffered lines are written.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.isClosed {
		w.isClosed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line) // there is no other stream to report the error on
		w.bytes.Add(-int64(len(line)))
	}
}
