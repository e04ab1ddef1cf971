package events

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against a reader of standard output that stops reading and so delays
// requests, and against lines that are lost without a count.
func TestStoppedReaderDelaysNothing(t *testing.T) {
	r, stopped := io.Pipe()
	w := NewWriter(stopped)
	const lines = 3 * bufferedLines
	for range lines {
		n, err := w.Write([]byte("line\n")) // a write that blocks ends the test by its timeout
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	// One line may be on its way to the reader.
	require.InDelta(t, lines-bufferedLines, w.Dropped(), 1)
	require.NoError(t, r.Close())
	w.Close()
}

// Guards against a reader of standard output that stops reading and so keeps the
// process from ending.
func TestStoppedReaderDoesNotHoldUpTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, stopped := io.Pipe()
		w := NewWriter(stopped)
		_, _ = w.Write([]byte("line\n"))
		w.Close() // one that waits for the reader ends the test as a deadlock
		require.NoError(t, r.Close())
	})
}

// Guards against lines that share one buffer and overwrite each other.
func TestWriterKeepsLines(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	line := []byte("a\n")
	_, _ = w.Write(line)
	line[0] = 'b'
	_, _ = w.Write(line)
	w.Close()
	require.Equal(t, "a\nb\n", out.String())
	require.Zero(t, w.Dropped())
}
