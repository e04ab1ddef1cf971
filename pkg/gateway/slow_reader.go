package gateway

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/limit"
)

const (
	// smallPartBytes is the size of the parts of a response that are part of the cost of a
	// connection and take nothing from the memory for responses.
	smallPartBytes = 4 << 10
	// responsePatience is how long a caller must not have taken a part of a response before
	// the response gives way to others.
	responsePatience = time.Second
)

var errGaveWay = errors.New("the response gave way to those of callers that read")

// responseLimits bounds what is held for callers that read their responses slowly or never.
type responseLimits struct {
	memory  *limit.Budget
	stall   time.Duration
	stalled atomic.Uint64
}

func newResponseLimits(l static.Limits, reports *limitReports) *responseLimits {
	r := &responseLimits{memory: limit.NewBudget(l.ResponseMemory(), responsePatience), stall: dynamic.MillisToDuration(l.ResponseStallMS)}
	reports.watch(eventResponseLimit, "responses_gave_way", func() uint64 { return r.memory.Stats().GaveWay })
	reports.watch(eventResponseLimit, "responses_stalled", r.stalled.Load)
	return r
}

// sending is a response on its way to the caller.
type sending struct {
	holder  *limit.Holder
	gaveWay atomic.Bool
}

// holdResponse takes memory for parts of the response. It returns false if none is free;
// then only small parts may be held.
func (c *call) holdResponse(bytes int64) bool {
	if bytes <= smallPartBytes {
		return true
	}
	if c.sending == nil {
		s, connection := &sending{}, http.NewResponseController(c.w)
		s.holder = c.g.limits.responses.memory.NewHolder(func() {
			s.gaveWay.Store(true)
			_ = connection.SetWriteDeadline(time.Now()) // errors: httptest.ResponseRecorder has no deadlines
		})
		c.sending = s
	}
	return c.sending.holder.Await(c.g.now, bytes)
}

// releaseResponse must be called at the end of each request.
func (c *call) releaseResponse() {
	if c.sending != nil {
		c.sending.holder.Release()
	}
}

// limitWrite ends the next write to the caller when it has not been taken for the time of
// the limit, so that neither memory nor the connection to the backend server is held for
// longer.
func (c *call) limitWrite() {
	end := time.Now().Add(c.g.limits.responses.stall)
	if last := c.deadline.Add(writeGrace); !c.deadline.IsZero() && last.Before(end) {
		end = last
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(end)
}

// writePart writes a part of the body to the caller and flushes it if isFlushed.
func (c *call) writePart(p []byte, isFlushed bool) (err error) {
	c.limitWrite()
	if s := c.sending; s != nil {
		if s.holder.Wait(c.g.now()); s.gaveWay.Load() {
			return errGaveWay
		}
		defer s.holder.Go()
	}
	if _, err = c.w.Write(p); err == nil && isFlushed {
		err = http.NewResponseController(c.w).Flush()
		if errors.Is(err, http.ErrNotSupported) {
			err = nil
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.g.limits.responses.stalled.Add(1)
	}
	return err
}

// bufferListener bounds the memory of the kernel for each connection. A small buffer for
// responses also shows sooner that a caller does not read.
type bufferListener struct {
	net.Listener
	sendBytes, receiveBytes int
}

// Accept implements net.Listener.
func (l bufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(l.sendBytes) // both fail only if the caller has gone
		_ = tcp.SetReadBuffer(l.receiveBytes)
	}
	return c, err
}
