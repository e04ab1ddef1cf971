package transport

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
)

const (
	maxRequestHeadBytes  = 1<<20 + 16<<10 // the longest header of a caller, and what an entry adds
	maxResponseHeadBytes = 64 << 10       // interim responses included
	maxResponseBytes     = 256 << 20      // body of one response
	maxInterimResponses  = 8              // 1xx responses at which an exchange fails
	maxSkippedResponses  = 4              // responses of earlier exchanges at which an exchange fails
	maxSkippedBodyBytes  = 1 << 20        // body of a skipped response
)

// Do sends the request to the backend server and returns the head of the
// response. The request is written at most once. The context covers the whole
// exchange, including the response body: when the context ends, the connection
// is closed. A context canceled with the cause context.DeadlineExceeded counts
// as a timeout. The time left until the deadline is sent in milliseconds in the
// field that headers.timeout names.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	s := p.settings()
	if err := validateRequest(r, s); err != nil {
		return nil, &Failure{NotRun: true, Kind: Malformed, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, newFailure(ctx, nil, Dial, err)
	}
	b, err := p.backend(address, s)
	if err != nil {
		return nil, &Failure{NotRun: true, Kind: Dial, Err: err}
	}
	c, err := b.acquireFor(ctx, s, r, p.fieldNames(s))
	if err != nil {
		return nil, newFailure(ctx, nil, Dial, err)
	}
	if r.MayStart != nil && !r.MayStart() {
		b.returnUnused(c)
		return nil, &Failure{NotRun: true, Kind: Withdrawn, Err: ErrWithdrawn}
	}
	x := &exchange{pool: p, conn: c, buffers: takeBuffers(c)}
	c.startExchange(r.Idempotent)
	x.stopContextWatch = context.AfterFunc(ctx, c.closeOnCancel)
	return x.roundTrip(ctx, address, r, s)
}

// exchange is one request and its response. It owns the connection from acquire
// until finish, fail, failBody or Close of the body.
type exchange struct {
	pool             *Pool
	conn             *conn
	buffers          *buffers
	stopContextWatch func() bool // unregisters the context.AfterFunc; false if the context ended first
	writeErr         error       // why the request was not written completely; the response may be complete nevertheless
	reusable         bool        // framing and both sides permit another exchange on the connection
	skippedResponse  bool        // a response of an earlier exchange was skipped
	response         Response
	body             body
}

func (x *exchange) roundTrip(ctx context.Context, address string, r *Request, s *dynamic.Service) (*Response, *Failure) {
	names := x.pool.fieldNames(s)
	if err := x.buffers.prepare(ctx, address, r, names, x.pool.nextExchangeID); err != nil {
		return nil, x.fail(ctx, Timeout, err)
	}
	x.conn.recordID(x.buffers.exchange[0])
	x.writeErr = x.write()
	if x.writeErr != nil && (x.conn.bytesWritten == 0 || ctx.Err() != nil) {
		return nil, x.fail(ctx, Write, x.writeErr)
	}
	// A backend server that rejects a request early may respond and close before
	// it has read the whole request.
	head, err := x.readMatchingHead(names)
	switch {
	case err != nil && x.writeErr != nil:
		return nil, x.fail(ctx, Write, x.writeErr)
	case err != nil:
		return nil, x.fail(ctx, Read, err)
	}
	x.reusable = x.writeErr == nil && !head.Close && !x.skippedResponse
	x.conn.backendIdleTimeout = keepAliveTimeout(head.Header)
	if err := x.validateHead(r, head, names); err != nil {
		return nil, x.fail(ctx, Malformed, err)
	}
	x.conn.readLimit = maxResponseBytes
	x.response = Response{Status: head.StatusCode, Header: head.Header, ContentLength: head.ContentLength}
	if names.internalExchange {
		delete(head.Header, names.exchange)
	}
	x.response.Signals = names.extractSignals(head.StatusCode, head.Header)
	removeHopByHop(head.Header)
	if err := x.verifyEnd(head); err != nil && !x.response.Signals.Shed {
		// An error is clearer for the caller than a response that breaks off.
		return nil, x.fail(ctx, Write, errors.Wrap(ErrTruncated, err.Error()))
	}
	if head.Body == http.NoBody || head.ContentLength == 0 || r.Method == http.MethodHead {
		x.response.Body = http.NoBody
		x.finish()
		return &x.response, nil
	}
	x.body = body{exchange: x, head: head, ctx: ctx}
	x.response.Body = &x.body
	return &x.response, nil
}

// validateRequest rejects a request that is too large or that would not be
// written as exactly one request.
func validateRequest(r *Request, s *dynamic.Service) error {
	if int64(len(r.Body)) > s.MaxBodyBytes {
		return errors.Wrap(ErrTooLarge, "request body")
	}
	if r.Method == "" || strings.ContainsFunc(r.Method, isNotTokenRune) {
		return errors.Wrapf(ErrInvalidRequest, "method %q", r.Method)
	}
	if r.Target == "" || (r.Target[0] != '/' && r.Target != "*") {
		return errors.Wrapf(ErrInvalidRequest, "target %q", r.Target)
	}
	for i := 0; i < len(r.Target); i++ {
		if r.Target[i] <= ' ' || r.Target[i] == 0x7f {
			return errors.Wrapf(ErrInvalidRequest, "target %q", r.Target)
		}
	}
	size := len(r.Method) + len(r.Target) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if size > maxRequestHeadBytes {
		return errors.Wrap(ErrTooLarge, "request head")
	}
	return nil
}

func isNotTokenRune(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, c)
}

// prepare fills in the outgoing request without modifying r.
func (b *buffers) prepare(ctx context.Context, address string, r *Request, names *fieldNames, nextID func() string) error {
	b.headerFields = len(r.Header)
	for name, values := range r.Header {
		b.header[name] = values
	}
	removeHopByHop(b.header)
	delete(b.header, "Expect")
	if _, ok := b.header["User-Agent"]; !ok {
		b.userAgent[0] = "" // keeps http.Request.Write from adding its default
		b.header["User-Agent"] = b.userAgent[:]
	}
	b.setIdentityFields(r, names, nextID)
	delete(b.header, names.timeout)
	if deadline, ok := ctx.Deadline(); ok {
		remainingMS := time.Until(deadline).Milliseconds()
		if remainingMS <= 0 {
			return context.DeadlineExceeded
		}
		b.timeout[0] = strconv.FormatInt(remainingMS, 10)
		b.header[names.timeout] = b.timeout[:]
	}
	b.url.Opaque = r.Target
	if strings.HasPrefix(r.Target, "//") {
		// A target that starts with // would be written as an absolute reference
		// if it were passed as the opaque part.
		u, err := url.ParseRequestURI(r.Target)
		if err != nil {
			return errors.Wrap(ErrInvalidRequest, err.Error())
		}
		b.url = *u
	}
	b.request.Method, b.request.URL, b.request.Host, b.request.Header = r.Method, &b.url, r.Host, b.header
	if r.Host == "" {
		b.request.Host = address
	}
	if len(r.Body) > 0 {
		b.body.Reset(r.Body)
		b.request.Body, b.request.ContentLength = &b.body, int64(len(r.Body))
	}
	return nil
}

// setIdentityFields sets the fields for the exchange ID and the expected
// identity of the backend server. If headers.exchange differs from
// ExchangeHeader, an ID received from the caller is kept, and a probe carries
// none.
func (b *buffers) setIdentityFields(r *Request, names *fieldNames, nextID func() string) {
	b.exchange[0] = ""
	// A caller may name the field in Connection, but backend servers need it.
	switch received := r.Header[names.exchange]; {
	case r.Probe && !names.internalExchange:
		delete(b.header, names.exchange)
	case !names.internalExchange && len(received) == 1 && received[0] != "":
		b.exchange[0] = received[0]
		b.header[names.exchange] = received
	default:
		b.exchange[0] = nextID()
		b.header[names.exchange] = b.exchange[:]
	}
	if names.expectInstance == "" {
		return
	}
	delete(b.header, names.expectInstance)
	if r.ExpectedInstance != "" {
		b.expectedInstance[0] = r.ExpectedInstance
		b.header[names.expectInstance] = b.expectedInstance[:]
	}
}

// write sends the request. conn.bytesWritten tells whether any byte was sent.
func (x *exchange) write() error {
	err := x.buffers.request.Write(x.buffers.writer)
	if err == nil {
		err = x.buffers.writer.Flush()
	}
	if err != nil {
		return cmp.Or(x.conn.writeErr, err)
	}
	x.conn.awaitingResponseSince.Store(time.Now().UnixNano())
	return nil
}

// fail ends an exchange that has no response.
func (x *exchange) fail(ctx context.Context, kind FailureKind, err error) *Failure {
	x.stopContextWatch()
	f := newFailure(ctx, x.conn, kind, err)
	b := x.conn.backend
	b.drop(x.conn, false)
	x.buffers.recycle()
	switch {
	case f.Kind == Timeout && !f.NotRun:
		b.closeIdleAfterTimeout()
	case f.Kind == Malformed:
		x.pool.recorder.Record(eventResponseMalformed, events.F("address", b.address), events.F("error", f.Err.Error()))
	case errors.Is(f.Err, ErrTruncated):
		x.pool.recorder.Record(eventResponseTruncated, events.F("address", b.address), events.F("error", f.Err.Error()))
	}
	return f
}

// closeIdleAfterTimeout closes the idle connections, which may be silent too.
func (b *backend) closeIdleAfterTimeout() {
	if n := b.closeIdle(); n > 0 {
		b.pool.recorder.Record(eventIdleRetired, events.F("address", b.address), events.F("connections", n))
	}
}

// newFailure classifies an error. c is nil if no connection was made.
func newFailure(ctx context.Context, c *conn, kind FailureKind, err error) *Failure {
	f := &Failure{NotRun: c == nil || c.bytesWritten == 0, Kind: kind, Err: err}
	switch {
	case c != nil && c.closedForSilence.Load():
		f.Kind, f.Err = Timeout, ErrSilentConnection
	case ctx.Err() != nil:
		f.Err = context.Cause(ctx)
		f.Kind = Canceled
		if errors.Is(f.Err, context.DeadlineExceeded) {
			f.Kind = Timeout
		}
	case kind == Timeout && !errors.Is(err, context.DeadlineExceeded):
		f.Kind = Malformed
	case kind == Read && !isConnectionError(err):
		f.Kind = Malformed
	}
	return f
}

// isConnectionError reports whether err is a failure of the connection, as
// opposed to invalid content.
func isConnectionError(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne)
}

// finish ends an exchange whose response was read completely.
func (x *exchange) finish() {
	c, reader := x.conn, x.buffers.reader
	unsolicited := reader.Buffered() > 0
	contextEnded := !x.stopContextWatch()
	x.buffers.recycle()
	if contextEnded || unsolicited {
		c.backend.drop(c, unsolicited)
		return
	}
	c.backend.release(c, x.reusable)
}
