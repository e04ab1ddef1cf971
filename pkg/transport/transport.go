package transport

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"lentilpin/pkg/routing"
)

// Errors of an exchange, to be tested with errors.Is.
var (
	ErrTruncated        = errors.New("response truncated")
	ErrSilentConnection = errors.New("no response byte on the connection while a newer one works")
	ErrConnectionLimit  = errors.New("all connections to the backend server are in use")
	ErrClosed           = errors.New("pool closed")
	ErrTooLarge         = errors.New("message too large")
	ErrUnframed         = errors.New("response does not state its length")
	ErrExchangeMismatch = errors.New("response belongs to another exchange")
	ErrInvalidRequest   = errors.New("invalid request")
	ErrUnsigned         = errors.New("response has no signature of a backend server")
	ErrWithdrawn        = errors.New("request withdrawn before it was sent")
	ErrInstanceMismatch = errors.New("response from another backend server than expected")
)

// ExchangeHeader is the default of the setting headers.exchange, the field for
// the ID of an exchange. Every request carries the field, except a probe if the
// setting differs from this default. A backend server may return it; a response
// with the ID of another exchange is rejected, or skipped where responses are
// signed.
const ExchangeHeader = "Lentilpin-Exchange"

// Request is one request to a backend server. Pool.Do does not modify it.
type Request struct {
	Method           string
	Target           string      // origin form: path and query as received, or *
	Host             string      // default: the address of the backend server
	Header           http.Header // hop-by-hop fields are not sent
	Body             []byte
	Idempotent       bool   // permits connections that were idle for maxIdleNonIdempotent or longer
	ExpectedInstance string // expected identity of the backend server; empty: any
	// Probe marks a request of the entry itself. Its response needs no signature
	// if headers.instance is set. The request carries no exchange ID if
	// headers.exchange differs from ExchangeHeader.
	Probe bool
	// NewConnection requires a connection that has served no other request.
	NewConnection bool
	// MayStart is called when a connection is at hand, right before the request is
	// written. If it returns false, the request is not sent and fails as Withdrawn:
	// until then it may have waited for the connection. nil: the request is sent.
	MayStart func() bool
}

// Signals holds what a response states about its backend server.
type Signals struct {
	Report    routing.Report
	HasReport bool
	RateLimit routing.RateLimit
	Draining  bool // the backend server is draining
	// RetryAfter is how long the backend server, which has refused the request with
	// 503, wants no further ones from this instance; 0: not stated.
	RetryAfter time.Duration
	Shed       bool // the backend server stated that the request did not run
	// WarmupLeft is how long the backend server stays cold, 0 if it is warm. It is set
	// only if HasWarmupLeft is.
	WarmupLeft    time.Duration
	HasWarmupLeft bool
	// Misdirected is set if the address now belongs to another backend server;
	// it implies Shed.
	Misdirected bool
}

// Response is the head of a response. Body must be read to io.EOF or closed.
type Response struct {
	Status        int
	Header        http.Header // without hop-by-hop fields and signals
	Body          io.ReadCloser
	ContentLength int64       // in bytes; -1: unknown
	Trailer       http.Header // set when Body has returned io.EOF
	Signals       Signals
}

// FailureKind is the cause of a failed exchange or the step at which it failed.
type FailureKind uint8

// Kinds of failures.
const (
	Dial      FailureKind = iota + 1 // no connection could be made
	Write                            // writing the request failed
	Read                             // the connection failed before the head of the response was read
	Timeout                          // the deadline of the context passed, or the connection was closed as silent
	Canceled                         // the context was canceled
	Malformed                        // the request or the head of the response is invalid
	Withdrawn                        // Request.MayStart returned false
)

var failureKindNames = [...]string{"", "dial", "write", "read", "timeout", "canceled", "malformed", "withdrawn"}

// String returns the name in lower case.
func (k FailureKind) String() string {
	if int(k) < len(failureKindNames) {
		return failureKindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Failure is the error of an exchange without a response. NotRun is set only if
// no connection was made or no byte of the request was written.
type Failure struct {
	NotRun bool
	Kind   FailureKind
	Err    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Err.Error() }

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }
