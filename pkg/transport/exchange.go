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
	maxRequestHeadBytes  = 64 << 10
	maxResponseHeadBytes = 64 << 10  // interim responses included
	maxResponseBytes     = 256 << 20 // body of one response
	maxInterim           = 8         // 1xx responses before the final one
	maxForeign           = 4         // responses of earlier exchanges before the own one
	maxForeignBytes      = 1 << 20   // body of a response that is skipped
)

// Do sends the request to the backend server and returns the head of the
// response. The request is written at most once. The context covers the whole
// exchange, the body of the response included: when it ends the connection is
// closed. A context that was cancelled with the cause context.DeadlineExceeded
// counts as a timeout. Its deadline is passed on in the field that the settings name.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, *Failure) {
	s := p.settings()
	if err := check(r, s); err != nil {
		return nil, &Failure{NotRun: true, Kind: Malformed, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, failure(ctx, nil, Dial, err)
	}
	b, err := p.backend(address, s)
	if err != nil {
		return nil, &Failure{NotRun: true, Kind: Dial, Err: err}
	}
	c, err := b.acquire(ctx, s, r.Idempotent)
	if err != nil {
		return nil, failure(ctx, nil, Dial, err)
	}
	x := &exchange{pool: p, conn: c, scratch: takeScratch(c)}
	c.begin(r.Idempotent)
	x.stop = context.AfterFunc(ctx, c.abort)
	return x.run(ctx, address, r, s)
}

// exchange is one request and its response. It owns the connection from
// acquire to finish.
type exchange struct {
	pool     *Pool
	conn     *conn
	scratch  *scratch
	stop     func() bool // ends the watch of the context; false if the context ended first
	reusable bool        // framing and both sides permit another exchange
	skipped  bool        // a response of an earlier exchange came first
	response Response
	body     body
}

func (x *exchange) run(ctx context.Context, address string, r *Request, s *dynamic.Service) (*Response, *Failure) {
	names := x.pool.fieldNames(s)
	if err := x.scratch.prepare(ctx, address, r, names, x.pool.nextExchange); err != nil {
		return nil, x.fail(ctx, Timeout, err)
	}
	writeErr := x.write()
	if writeErr != nil && (x.conn.written == 0 || ctx.Err() != nil) {
		return nil, x.fail(ctx, Write, writeErr)
	}
	// A backend server that refuses a request early may answer and close
	// before it has read the whole request.
	head, err := x.readOwnHead(r, names)
	switch {
	case err != nil && writeErr != nil:
		return nil, x.fail(ctx, Write, writeErr)
	case err != nil:
		return nil, x.fail(ctx, Read, err)
	}
	x.reusable = writeErr == nil && !head.Close && !x.skipped
	x.conn.maxIdle = keepAliveTimeout(head.Header)
	if err := x.accept(r, head, names); err != nil {
		return nil, x.fail(ctx, Malformed, err)
	}
	x.conn.budget = maxResponseBytes
	x.response = Response{Status: head.StatusCode, Header: head.Header, ContentLength: head.ContentLength}
	if names.ownExchange {
		delete(head.Header, names.exchange)
	}
	x.response.Signals = names.takeSignals(head.StatusCode, head.Header)
	removeHopByHop(head.Header)
	if head.Body == http.NoBody || head.ContentLength == 0 || r.Method == http.MethodHead {
		x.response.Body = http.NoBody
		x.finish()
		return &x.response, nil
	}
	x.body = body{exchange: x, head: head, ctx: ctx}
	x.response.Body = &x.body
	return &x.response, nil
}

// check refuses what cannot be written as one request.
func check(r *Request, s *dynamic.Service) error {
	if int64(len(r.Body)) > s.MaxBodyBytes {
		return errors.Wrap(ErrTooLarge, "request body")
	}
	if r.Method == "" || strings.ContainsFunc(r.Method, notTokenRune) {
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

func notTokenRune(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, c)
}

// prepare fills in the request without changing r.
func (s *scratch) prepare(ctx context.Context, address string, r *Request, names *fieldNames, next func() string) error {
	s.fields = len(r.Header)
	for name, values := range r.Header {
		s.header[name] = values
	}
	removeHopByHop(s.header)
	delete(s.header, "Expect")
	if _, ok := s.header["User-Agent"]; !ok {
		s.agent[0] = "" // keeps http.Request.Write from adding its own
		s.header["User-Agent"] = s.agent[:]
	}
	s.identify(r, names, next)
	delete(s.header, names.timeout)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return context.DeadlineExceeded
		}
		s.timeout[0] = strconv.FormatInt(left, 10)
		s.header[names.timeout] = s.timeout[:]
	}
	s.url.Opaque = r.Target
	if strings.HasPrefix(r.Target, "//") {
		// An opaque part that starts like this would be written as an
		// absolute reference.
		u, err := url.ParseRequestURI(r.Target)
		if err != nil {
			return errors.Wrap(ErrInvalidRequest, err.Error())
		}
		s.url = *u
	}
	s.request.Method, s.request.URL, s.request.Host, s.request.Header = r.Method, &s.url, r.Host, s.header
	if r.Host == "" {
		s.request.Host = address
	}
	if len(r.Body) > 0 {
		s.body.Reset(r.Body)
		s.request.Body, s.request.ContentLength = &s.body, int64(len(r.Body))
	}
	return nil
}

// identify names the exchange and the backend server that is expected. A
// request that carries the name of its exchange keeps it.
func (s *scratch) identify(r *Request, names *fieldNames, next func() string) {
	s.exchange[0] = ""
	switch given := s.header[names.exchange]; {
	case r.Probe && !names.ownExchange:
		delete(s.header, names.exchange)
	case !names.ownExchange && len(given) == 1 && given[0] != "":
		s.exchange[0] = given[0]
	default:
		s.exchange[0] = next()
		s.header[names.exchange] = s.exchange[:]
	}
	if names.expect == "" {
		return
	}
	delete(s.header, names.expect)
	if r.Instance != "" {
		s.expected[0] = r.Instance
		s.header[names.expect] = s.expected[:]
	}
}

// write sends the request. Whether any byte left is in conn.written.
func (x *exchange) write() error {
	if err := x.scratch.request.Write(x.scratch.writer); err != nil {
		return err
	}
	if err := x.scratch.writer.Flush(); err != nil {
		return err
	}
	x.conn.waitingSince.Store(time.Now().UnixNano())
	return nil
}

// readOwnHead reads the head of the response to this request. Where responses
// are signed, those of earlier exchanges that come first are skipped: a backend
// server may answer a request twice, the second time late.
func (x *exchange) readOwnHead(r *Request, names *fieldNames) (*http.Response, error) {
	for range maxForeign {
		head, err := x.readHead()
		if err != nil || !names.signs() {
			return head, err
		}
		got := head.Header.Get(names.exchange)
		if got == x.scratch.exchange[0] || got == "" {
			return head, nil
		}
		x.skipped = true
		x.pool.recorder.Record(eventSkipped, events.F("address", x.conn.backend.address), events.F("exchange", got))
		if head.ContentLength < 0 && len(head.TransferEncoding) == 0 && head.Body != http.NoBody {
			return nil, ErrMismatch // it ends with the connection
		}
		x.conn.budget = maxForeignBytes
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
		x.conn.budget = maxResponseHeadBytes
	}
	return nil, ErrMismatch
}

// readHead reads the head of the final response.
func (x *exchange) readHead() (*http.Response, error) {
	for range maxInterim {
		head, err := http.ReadResponse(x.scratch.reader, &x.scratch.request)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(errMalformed, "protocol switch without a request for it")
		}
	}
	return nil, errors.Wrap(errMalformed, "too many interim responses")
}

var errMalformed = errors.New("malformed response")

// accept refuses responses that cannot be shown to be whole or to belong to the
// request.
func (x *exchange) accept(r *Request, head *http.Response, names *fieldNames) error {
	if head.ContentLength > maxResponseBytes {
		return ErrTooLarge
	}
	hasBody := r.Method != http.MethodHead && head.Body != http.NoBody
	if hasBody && head.ContentLength < 0 && len(head.TransferEncoding) == 0 && !names.settings.Responses.Unframed {
		return ErrUnframed
	}
	if err := x.verify(r, head, names); err != nil {
		x.pool.recorder.Record(eventMismatch, events.F("address", x.conn.backend.address), events.F("error", err.Error()))
		return err
	}
	return nil
}

// verify checks that the response belongs to the request.
func (x *exchange) verify(r *Request, head *http.Response, names *fieldNames) error {
	got := head.Header[names.exchange]
	own := len(got) == 1 && got[0] == x.scratch.exchange[0]
	switch {
	case len(got) > 0 && !own:
		return ErrMismatch
	case !names.signs():
		return nil
	case r.Probe && names.instance != "":
		if id := head.Header.Get(names.instance); id != "" && r.Instance != "" && id != r.Instance {
			return ErrOtherInstance
		}
		return nil
	case head.StatusCode >= http.StatusMultipleChoices:
		return nil
	case !own:
		return ErrMismatch
	case head.Header.Get(names.signature) == "":
		return ErrUnsigned
	}
	return nil
}

// fail ends an exchange without a response.
func (x *exchange) fail(ctx context.Context, kind FailureKind, err error) *Failure {
	x.stop()
	f := failure(ctx, x.conn, kind, err)
	b := x.conn.backend
	b.drop(x.conn, false)
	x.scratch.give()
	switch {
	case f.Kind == Timeout && !f.NotRun:
		b.timedOut()
	case f.Kind == Malformed:
		x.pool.recorder.Record(eventMalformed, events.F("address", b.address), events.F("error", f.Err.Error()))
	}
	return f
}

// timedOut retires the idle connections, which may be silent too.
func (b *backend) timedOut() {
	if n := b.closeIdle(); n > 0 {
		b.pool.recorder.Record(eventTimeoutRetired, events.F("address", b.address), events.F("connections", n))
	}
}

// failure classifies an error. c is nil where no connection was made.
func failure(ctx context.Context, c *conn, kind FailureKind, err error) *Failure {
	f := &Failure{NotRun: c == nil || c.written == 0, Kind: kind, Err: err}
	switch {
	case c != nil && c.silent.Load():
		f.Kind, f.Err = Timeout, ErrSilent
	case ctx.Err() != nil:
		f.Err = context.Cause(ctx)
		f.Kind = Canceled
		if errors.Is(f.Err, context.DeadlineExceeded) {
			f.Kind = Timeout
		}
	case kind == Timeout && !errors.Is(err, context.DeadlineExceeded):
		f.Kind = Malformed
	case kind == Read && !isBroken(err):
		f.Kind = Malformed
	}
	return f
}

// isBroken reports whether the connection failed, as opposed to its content.
func isBroken(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, io.ErrClosedPipe) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne)
}

// finish ends an exchange whose response was read whole.
func (x *exchange) finish() {
	c, reader := x.conn, x.scratch.reader
	unsolicited := reader.Buffered() > 0
	ended := !x.stop()
	x.scratch.give()
	if ended || unsolicited {
		c.backend.drop(c, unsolicited)
		return
	}
	c.backend.release(c, x.reusable)
}

// body is the body of a response. Read and Close must not be called at the
// same time; to interrupt a Read, cancel the context of the exchange.
type body struct {
	exchange *exchange // nil once the connection was given back
	head     *http.Response
	ctx      context.Context
	err      error
}

// Read returns io.EOF only after the whole body.
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
	if err == io.EOF {
		b.err = io.EOF
		x.response.Trailer = b.head.Trailer
		removeHopByHop(x.response.Trailer)
		x.finish()
	} else {
		b.err = x.truncated(b.ctx, err)
	}
	b.head = nil
	return n, b.err
}

// truncated ends an exchange whose response is not whole.
func (x *exchange) truncated(ctx context.Context, err error) error {
	x.stop()
	c := x.conn
	c.backend.drop(c, false)
	x.scratch.give()
	switch ctxErr := context.Cause(ctx); {
	case ctxErr == nil && errors.Is(err, ErrTooLarge):
		err = ErrTooLarge
	case ctxErr == nil:
		err = errors.Wrap(ErrTruncated, err.Error())
	default:
		err = ctxErr
		if errors.Is(ctxErr, context.DeadlineExceeded) {
			c.backend.timedOut()
		}
		return err
	}
	x.pool.recorder.Record(eventTruncated, events.F("address", c.backend.address), events.F("error", err.Error()))
	return err
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	x := b.exchange
	if x == nil {
		return nil
	}
	b.exchange, b.head, b.err = nil, nil, http.ErrBodyReadAfterClose
	x.stop()
	x.conn.backend.drop(x.conn, false)
	x.scratch.give()
	return nil
}
