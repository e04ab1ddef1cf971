package transport

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes  = 4096
	writeBufferBytes = 4096

	// A map keeps its size when it is cleared, so one with many fields is not
	// kept for later requests.
	typicalFields = 16
	maxKeptFields = 64
)

// conn is one connection. Its embedded counters belong to the exchange in
// progress.
type conn struct {
	net.Conn
	backend  *backend
	sequence uint64 // order in which the connections of a backend server were made
	raw      syscall.RawConn
	idleAt   time.Time
	maxIdle  time.Duration // the backend server closes it after this; 0: not stated

	written int64 // bytes of the request that the socket took
	budget  int64 // bytes that may be read before the head of the response ends

	// waitingSince is the time in nanoseconds at which the request was
	// written, and zero from the first byte of the response on. outrun is set
	// when an exchange on a newer connection ended well in the meantime.
	waitingSince atomic.Int64
	outrun       atomic.Bool
	retired      atomic.Bool // found silent: not used again
	silent       atomic.Bool // closed for silence
	interrupts   bool        // whether silence may end the exchange

	abort    func()           // closes the connection; made once, for context.AfterFunc
	poll     func(fd uintptr) // made once, for raw.Control
	pollSet  [1]unix.PollFd
	readable bool
}

func newConn(b *backend, nc net.Conn, sequence uint64) *conn {
	c := &conn{Conn: nc, backend: b, sequence: sequence}
	c.abort = func() { _ = c.Conn.Close() }
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.poll = func(fd uintptr) {
		c.pollSet[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(c.pollSet[:], 0)
		for err == unix.EINTR { // the runtime preempts with signals
			n, err = unix.Poll(c.pollSet[:], 0)
		}
		c.readable = n != 0 || err != nil
	}
	return c
}

// begin prepares the counters for an exchange.
func (c *conn) begin(idempotent bool) {
	c.written, c.budget, c.interrupts = 0, maxResponseHeadBytes, idempotent
	c.outrun.Store(false)
}

// quiet reports whether the connection is open and has nothing to read. A
// connection that cannot be polled is never quiet and so never reused.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return false
	}
	c.readable = true
	if err := c.raw.Control(c.poll); err != nil {
		return false
	}
	return !c.readable
}

// hasInput reports whether there is a byte to read, as opposed to an end of
// the stream. It is only called on a connection that is about to be closed.
func (c *conn) hasInput() bool {
	var found bool
	if c.raw == nil {
		return false
	}
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return found
}

// Write counts what the socket took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read enforces the bound of the head.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > c.budget {
		p = p[:c.budget]
	}
	n, err := c.Conn.Read(p)
	c.budget -= int64(n)
	if n > 0 && c.waitingSince.Load() != 0 {
		c.waitingSince.Store(0)
	}
	return n, err
}

// scratch is what a connection needs during an exchange only.
type scratch struct {
	reader  *bufio.Reader
	writer  *bufio.Writer
	request http.Request
	url     url.URL
	header  http.Header
	body    requestBody
	fields  int // that header has held, removed ones included
	timeout [1]string
	agent   [1]string

	exchange [1]string // name of the exchange; empty: none was sent
	expected [1]string // identity that the backend server is expected to have
}

type requestBody struct{ bytes.Reader }

// Close implements io.Closer.
func (*requestBody) Close() error { return nil }

var scratches = sync.Pool{New: func() any {
	return &scratch{
		reader: bufio.NewReaderSize(nil, readBufferBytes),
		writer: bufio.NewWriterSize(nil, writeBufferBytes),
		header: make(http.Header, typicalFields),
	}
}}

func takeScratch(c *conn) *scratch {
	s := scratches.Get().(*scratch)
	s.reader.Reset(c)
	s.writer.Reset(c)
	return s
}

// give returns the buffers. Nothing of the exchange may be read afterwards.
func (s *scratch) give() {
	s.reader.Reset(nil)
	s.writer.Reset(nil)
	clear(s.header)
	if s.fields > maxKeptFields {
		s.header = make(http.Header, typicalFields)
	}
	s.request = http.Request{}
	s.url = url.URL{}
	s.body.Reset(nil)
	scratches.Put(s)
}
