package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// initialBodyBytes is the capacity for a body of unknown length, which then doubles.
	initialBodyBytes = 512
	// smallBodyBytes is the size of bodies up to which they need no part of the memory for
	// bodies, so that small requests do not wait behind uploads.
	smallBodyBytes = 16 << 10
	// bodyMemoryShare is the share of the remaining time for which a request waits for
	// memory: its body has still to arrive.
	bodyMemoryShare = 0.5
)

var (
	errNoBodyMemory = errors.New("the bodies of other requests hold the memory for bodies")
	errBodyGaveWay  = errors.New("the body did not arrive while others needed its memory or connection")
)

// holdBody reads a body into memory that is taken from that for the bodies of all
// requests. The body is held once, but while one of unknown length grows. The error is
// errBodyGaveWay if the body did not arrive while others needed the memory.
func (c *call) holdBody(body io.Reader, limit int64) ([]byte, error) {
	out, err := c.readInto(arrivals{body, c}, limit)
	if c.receiver != nil && c.receiver.Done() {
		return nil, errBodyGaveWay // also if it has arrived just now: the connection's deadline has passed
	}
	return out, err
}

// arrivals reports the bytes of a body that arrive.
type arrivals struct {
	io.Reader
	call *call
}

// Read implements io.Reader.
func (a arrivals) Read(p []byte) (int, error) {
	n, err := a.Reader.Read(p)
	if a.call.receiver != nil {
		a.call.receiver.Arrived(n)
	}
	return n, err
}

func (c *call) readInto(body io.Reader, limit int64) ([]byte, error) {
	if n := c.r.ContentLength; n >= 0 {
		if err := c.raiseBodyMemory(n); err != nil {
			return nil, err
		}
		return readAnnounced(body, n)
	}
	out := make([]byte, 0, initialBodyBytes)
	for {
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, err
		case len(out) < cap(out):
			continue
		}
		next := min(2*int64(cap(out)), max(limit, int64(cap(out)))+1)
		needed := next
		if c.bodyMemory == 0 && next > smallBodyBytes {
			needed = max(next, c.g.bodyMemory.Share())
		}
		if err := c.raiseBodyMemory(needed); err != nil {
			return nil, err
		}
		out = append(make([]byte, 0, next), out...)
	}
}

const (
	// firstPartBytes is the part of an announced body that is allocated at first, and
	// partGrowth how much more than has arrived is allocated then: callers may announce what
	// they never send.
	firstPartBytes = 64 << 10
	partGrowth     = 4
)

// readAnnounced reads a body of n bytes.
func readAnnounced(body io.Reader, n int64) ([]byte, error) {
	var out []byte
	for int64(len(out)) < n {
		arrived := len(out)
		next := min(n, max(firstPartBytes, partGrowth*int64(arrived)))
		out = append(make([]byte, 0, next), out...)[:next]
		if _, err := io.ReadFull(body, out[arrived:]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// raiseBodyMemory raises the memory that the request holds to n bytes, unless its body is
// small. It waits for them for a share of the remaining time, and does not give way
// meanwhile. The error is errNoBodyMemory, or errBodyGaveWay.
func (c *call) raiseBodyMemory(n int64) (err error) {
	if n <= smallBodyBytes || n <= c.bodyMemory {
		return nil
	}
	if c.receiver != nil && c.receiver.Done() {
		return errBodyGaveWay
	}
	wait := time.Duration(bodyMemoryShare * float64(time.Until(c.deadline)))
	ctx, cancel := context.WithTimeout(c.r.Context(), wait)
	defer cancel()
	if c.bodyMemory > 0 {
		c.bodyMemory, err = c.g.bodyMemory.Grow(ctx, c.bodyMemory, n)
	} else if n, err = c.g.bodyMemory.Take(ctx, n); err == nil {
		c.bodyMemory = n
	}
	if err != nil {
		return errNoBodyMemory
	}
	connection := http.NewResponseController(c.w) // errors: httptest.ResponseRecorder has no deadlines
	c.receiver = c.g.bodyMemory.Receive(func() { _ = connection.SetReadDeadline(time.Now()) })
	return nil
}

// releaseBodyMemory must be called at the end of each request.
func (c *call) releaseBodyMemory() {
	if c.bodyMemory > 0 {
		c.g.bodyMemory.Release(c.bodyMemory)
	}
}

const (
	// unreadBodyWait is how long a refusal waits for the rest of a body. Most bodies are on
	// their way with their heads; with them read, the connection can be kept.
	unreadBodyWait = 50 * time.Millisecond
	// maxUnreadBodyBytes is how much of a body is read for that.
	maxUnreadBodyBytes = 256 << 10
)

// discardBody reads the rest of the body of a request that is refused before it was read. If
// it does not arrive, the connection is closed after the response: net/http would wait for
// the body before it sends one.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	connection := http.NewResponseController(w) // errors: httptest.ResponseRecorder has no deadlines
	// A caller that expects to be told to continue has not sent its body.
	if r.ContentLength <= maxUnreadBodyBytes && r.Header.Get("Expect") == "" {
		_ = connection.SetReadDeadline(time.Now().Add(unreadBodyWait))
		if n, err := io.CopyN(io.Discard, r.Body, maxUnreadBodyBytes+1); err == io.EOF && n <= maxUnreadBodyBytes {
			_ = connection.SetReadDeadline(time.Time{})
			return
		}
	}
	closeUnread(w)
}

// closeUnread makes net/http close the connection after the response without waiting for the
// rest of the request's body.
func closeUnread(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // error: httptest.ResponseRecorder has no deadlines
}
