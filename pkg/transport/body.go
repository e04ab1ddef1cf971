package transport

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"lentilpin/pkg/events"
	"lentilpin/pkg/framing"
)

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
	if err == io.EOF {
		err = x.verifyEnd(b.head)
	}
	if err == nil {
		err = framing.CheckFieldNames(b.head.Trailer)
	}
	if err == nil {
		b.err = io.EOF
		x.response.Trailer = b.head.Trailer
		removeHopByHop(x.response.Trailer)
		x.finish()
	} else {
		b.err = x.failBody(b.ctx, err)
	}
	b.head = nil
	return n, b.err
}

// verifyEnd returns an error if the end of the stream does not prove that the body is
// complete. A reset is reported once, to the write or to the read that is in progress; after
// a failed write, a read returns the bytes that have arrived and then the end of the stream.
// A body whose head states where it ends needs no such proof.
func (x *exchange) verifyEnd(head *http.Response) error {
	if !isUnframed(head) || hadEnded(x.writeErr) {
		return nil
	}
	return x.writeErr
}

// hadEnded reports whether the backend server had ended its side of the connection in order
// when the write failed, so that all of the response has arrived (RFC 9112, section 9.6).
// Linux then fails the write with EPIPE. A reset without that fails it with ECONNRESET.
func hadEnded(writeErr error) bool { return errors.Is(writeErr, unix.EPIPE) }

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
