package transport

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	readBufferBytes  = 4096
	writeBufferBytes = 4096

	// A cleared map keeps its capacity, so a map that has grown beyond
	// maxPooledHeaderFields is not returned to the pool.
	initialHeaderFields   = 16
	maxPooledHeaderFields = 64
)

// conn is one connection to a backend server. Its counters belong to the
// exchange in progress.
type conn struct {
	net.Conn
	backend            *backend
	sequence           uint64 // position in the order in which connections to the backend server were made
	rawConn            syscall.RawConn
	idleAt             time.Time
	backendIdleTimeout time.Duration // idle time after which the backend server closes the connection; 0: not stated

	earlierIDs [rememberedIDs]uint64 // digests of the IDs of the latest exchanges on this connection; callers choose the IDs
	exchanges  int                   // begun on this connection

	bytesWritten int64 // bytes of the request that the socket accepted
	writeErr     error // of the socket, which package net/http hides
	readLimit    int64 // bytes that may still be read in the current part of the response

	// awaitingResponseSince is the Unix time in nanoseconds at which the request
	// was written, or 0 when no request is waiting for its first response byte.
	// newerConnSucceeded is set when an exchange on a newer connection has
	// succeeded in the meantime.
	awaitingResponseSince atomic.Int64
	newerConnSucceeded    atomic.Bool
	silenceDetected       atomic.Bool // the silence was reported; the connection is not reused
	closedForSilence      atomic.Bool // the sweep closed the connection during the exchange
	closeOnSilence        bool        // whether the sweep may close the connection during the exchange

	closeOnCancel func()           // closes the connection; allocated once, for context.AfterFunc
	pollInput     func(fd uintptr) // allocated once, for rawConn.Control
	pollSet       [1]unix.PollFd
	readable      bool
}

func newConn(b *backend, nc net.Conn, sequence uint64) *conn {
	c := &conn{Conn: nc, backend: b, sequence: sequence}
	c.closeOnCancel = func() { _ = c.Conn.Close() }
	if sc, ok := nc.(syscall.Conn); ok {
		if rawConn, err := sc.SyscallConn(); err == nil {
			c.rawConn = rawConn
		}
	}
	c.pollInput = func(fd uintptr) {
		c.pollSet[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(c.pollSet[:], 0)
		for err == unix.EINTR { // the runtime preempts goroutines with signals
			n, err = unix.Poll(c.pollSet[:], 0)
		}
		c.readable = n != 0 || err != nil
	}
	return c
}

// rememberedIDs is the number of earlier exchanges of a connection whose IDs are known. A
// backend server that repeats an earlier response mostly repeats the latest one.
const rememberedIDs = 4

// recordID records the ID of the exchange that begins.
func (c *conn) recordID(id string) {
	c.earlierIDs[c.exchanges%rememberedIDs] = xxhash.Sum64String(id)
	c.exchanges++
}

// hasServed reports whether one of the latest exchanges on the connection had an ID: a
// copy of its response could not be told from the response to a further one.
func (c *conn) hasServed(id string) bool {
	return id != "" && slices.Contains(c.earlierIDs[:min(c.exchanges, rememberedIDs)], xxhash.Sum64String(id))
}

// startExchange resets the per-exchange state.
func (c *conn) startExchange(idempotent bool) {
	c.bytesWritten, c.writeErr, c.readLimit, c.closeOnSilence = 0, nil, maxResponseHeadBytes, idempotent
	c.newerConnSucceeded.Store(false)
}

// isReusable reports whether the connection is open and has no unread input. A
// connection that cannot be polled is never reusable.
func (c *conn) isReusable() bool {
	if c.rawConn == nil {
		return false
	}
	c.readable = true
	if err := c.rawConn.Control(c.pollInput); err != nil {
		return false
	}
	return !c.readable
}

// hasUnreadInput reports whether at least one byte can be read, as opposed to
// the end of the stream. It is only called on a connection that is about to be
// closed.
func (c *conn) hasUnreadInput() bool {
	var found bool
	if c.rawConn == nil {
		return false
	}
	_ = c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return found
}

// Write implements io.Writer, counts the bytes that the socket accepted and keeps its error.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	c.writeErr = err
	return n, err
}

// Read implements io.Reader. It returns ErrTooLarge once readLimit is used up.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.Conn.Read(p)
	c.readLimit -= int64(n)
	if n > 0 && c.awaitingResponseSince.Load() != 0 {
		c.awaitingResponseSince.Store(0)
	}
	return n, err
}

// buffers holds the read and write buffers and the request state that a
// connection needs only during an exchange.
type buffers struct {
	input        input // what reader reads from
	reader       *bufio.Reader
	writer       *bufio.Writer
	request      http.Request
	url          url.URL
	header       http.Header
	body         requestBody
	headerFields int // number of fields put into header, including those removed again
	timeout      [1]string
	userAgent    [1]string

	exchange         [1]string // ID of the exchange; empty: none was sent
	expectedInstance [1]string // identity that the backend server is expected to have
}

type requestBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*requestBody) Close() error { return nil }

var buffersPool = sync.Pool{New: func() any {
	b := &buffers{
		writer: bufio.NewWriterSize(nil, writeBufferBytes),
		header: make(http.Header, initialHeaderFields),
	}
	b.reader = bufio.NewReaderSize(&b.input, readBufferBytes)
	return b
}}

func takeBuffers(c *conn) *buffers {
	b := buffersPool.Get().(*buffers)
	b.input.conn = c
	b.writer.Reset(c)
	return b
}

// recycle returns the buffers to the pool. They must not be used afterwards.
func (b *buffers) recycle() {
	b.input.recycle()
	b.reader.Reset(&b.input)
	b.writer.Reset(nil)
	clear(b.header)
	if b.headerFields > maxPooledHeaderFields {
		b.header = make(http.Header, initialHeaderFields)
	}
	b.request = http.Request{}
	b.url = url.URL{}
	b.body.Reset(nil)
	b.exchange[0] = ""
	buffersPool.Put(b)
}
