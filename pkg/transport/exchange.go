package transport

import (
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
		return nil, x.fail(ctx, Write, err) // clearer for the caller than a response that breaks off
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
	if err := x.buffers.request.Write(x.buffers.writer); err != nil {
		return err
	}
	if err := x.buffers.writer.Flush(); err != nil {
		return err
	}
	x.conn.awaitingResponseSince.Store(time.Now().UnixNano())
	return nil
}

// readMatchingHead reads the head of the response to this request. Where
// responses are signed, preceding responses of earlier exchanges are skipped: a
// backend server may respond to a request twice, the second time late.
func (x *exchange) readMatchingHead(names *fieldNames) (*http.Response, error) {
	for range maxSkippedResponses {
		head, err := x.readFinalHead()
		if err != nil || !names.responsesSigned() {
			return head, err
		}
		receivedID := head.Header.Get(names.exchange)
		if receivedID == x.buffers.exchange[0] || receivedID == "" {
			return head, nil
		}
		x.skippedResponse = true
		x.pool.recorder.Record(eventLateResponseSkipped, events.F("address", x.conn.backend.address), events.F("exchange", receivedID))
		if isUnframed(head) {
			return nil, ErrExchangeMismatch
		}
		x.conn.readLimit = maxSkippedBodyBytes
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
		x.conn.readLimit = maxResponseHeadBytes
	}
	return nil, ErrExchangeMismatch
}

// readFinalHead reads interim (1xx) responses and returns the head of the final
// response.
func (x *exchange) readFinalHead() (*http.Response, error) {
	for range maxInterimResponses {
		head, err := http.ReadResponse(x.buffers.reader, &x.buffers.request)
		if err != nil {
			return nil, err
		}
		if err := validateStatus(head); err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(errMalformed, "protocol switch that was not requested")
		}
	}
	return nil, errors.Wrap(errMalformed, "too many interim responses")
}

var errMalformed = errors.New("malformed response")

// validateHead rejects a response whose completeness, or whose match with the
// request, cannot be verified.
func (x *exchange) validateHead(r *Request, head *http.Response, names *fieldNames) error {
	if head.ContentLength > maxResponseBytes {
		return ErrTooLarge
	}
	if isUnframed(head) && !names.settings.Responses.Unframed {
		return ErrUnframed
	}
	if err := x.verifyExchange(r, head, names); err != nil {
		x.pool.recorder.Record(eventResponseMismatch, events.F("address", x.conn.backend.address), events.F("error", err.Error()))
		return err
	}
	return nil
}

// isUnframed reports whether the body is delimited by the end of the connection.
func isUnframed(head *http.Response) bool {
	return head.Body != http.NoBody && head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

// verifyEnd returns ErrTruncated if the end of the stream does not prove that the body is
// complete. A reset is reported once, to the write or to the read that is in progress; after
// a failed write, a read returns the bytes that have arrived and then the end of the stream.
// A body whose head states where it ends needs no such proof.
func (x *exchange) verifyEnd(head *http.Response) error {
	if x.writeErr == nil || !isUnframed(head) {
		return nil
	}
	return errors.Wrap(ErrTruncated, x.writeErr.Error())
}

// verifyExchange checks that the response belongs to the request.
func (x *exchange) verifyExchange(r *Request, head *http.Response, names *fieldNames) error {
	received := head.Header[names.exchange]
	matches := len(received) == 1 && received[0] == x.buffers.exchange[0]
	switch {
	case len(received) > 0 && !matches:
		return ErrExchangeMismatch
	case !names.responsesSigned():
		return nil
	case r.Probe && names.instance != "":
		if id := head.Header.Get(names.instance); id != "" && r.ExpectedInstance != "" && id != r.ExpectedInstance {
			return ErrInstanceMismatch
		}
		return nil
	case head.StatusCode >= http.StatusMultipleChoices && x.conn.exchanges == 1:
		return nil // the first response on a connection is no copy of an earlier one
	case !matches:
		return ErrExchangeMismatch
	case head.StatusCode < http.StatusMultipleChoices && head.Header.Get(names.signature) == "":
		return ErrUnsigned
	}
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

// body is the body of a response. Read and Close must not be called
// concurrently; to interrupt a Read, cancel the context of the exchange.
type body struct {
	exchange *exchange // nil once the exchange has ended
	head     *http.Response
	ctx      context.Context
	err      error
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.head.Body.Read(p)
	if err == nil {
		return n, nil
	}
	x := b.exchange
	b.exchange = nil
	endErr := x.verifyEnd(b.head)
	if err == io.EOF && endErr == nil {
		b.err = io.EOF
		x.response.Trailer = b.head.Trailer
		removeHopByHop(x.response.Trailer)
		x.finish()
	} else {
		if err == io.EOF {
			err = endErr
		}
		b.err = x.failBody(b.ctx, err)
	}
	b.head = nil
	return n, b.err
}

// failBody ends an exchange whose response body is incomplete.
func (x *exchange) failBody(ctx context.Context, err error) error {
	x.stopContextWatch()
	c := x.conn
	c.backend.drop(c, false)
	x.buffers.recycle()
	switch ctxErr := context.Cause(ctx); {
	case ctxErr == nil && errors.Is(err, ErrTooLarge):
		err = ErrTooLarge
	case ctxErr == nil:
		err = errors.Wrap(ErrTruncated, err.Error())
	default:
		err = ctxErr
		if errors.Is(ctxErr, context.DeadlineExceeded) {
			c.backend.closeIdleAfterTimeout()
		}
		return err
	}
	x.pool.recorder.Record(eventResponseTruncated, events.F("address", c.backend.address), events.F("error", err.Error()))
	return err
}

// Close closes the connection unless the body was read to io.EOF.
func (b *body) Close() error {
	x := b.exchange
	if x == nil {
		return nil
	}
	b.exchange, b.head, b.err = nil, nil, http.ErrBodyReadAfterClose
	x.stopContextWatch()
	x.conn.backend.drop(x.conn, false)
	x.buffers.recycle()
	return nil
}
