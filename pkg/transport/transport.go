package transport

import (
	"fmt"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"lentilpin/pkg/routing"
)

// Errors of an exchange, found with errors.Is.
var (
	ErrTruncated       = errors.New("response cut short")
	ErrSilent          = errors.New("no byte from the connection while a newer one works")
	ErrConnectionLimit = errors.New("all connections to the backend server are in use")
	ErrClosed          = errors.New("pool closed")
	ErrTooLarge        = errors.New("message too large")
	ErrUnframed        = errors.New("response does not state its length")
	ErrMismatch        = errors.New("response belongs to another exchange")
	ErrInvalidRequest  = errors.New("request cannot be sent")
	ErrUnsigned        = errors.New("response without the signature of a backend server")
	ErrOtherInstance   = errors.New("another backend server has the address")
)

// ExchangeHeader is the default of the setting headers.exchange, the field that
// names one exchange. It is set on every request. A backend server may return
// it; a response that carries another value than its request is refused, or
// skipped where responses are signed.
const ExchangeHeader = "Lentilpin-Exchange"

// Request is one request to a backend server. Do does not change it.
type Request struct {
	Method     string
	Target     string // origin form: path and query as received
	Host       string
	Header     http.Header // hop-by-hop fields are not sent
	Body       []byte
	Idempotent bool   // permits connections that were idle for long
	Instance   string // identity that the backend server is expected to have; empty: any
	Probe      bool   // a question of the entry itself: it names no exchange and its response is not signed
}

// Signals is what a response says about its backend server.
type Signals struct {
	Report    routing.Report
	HasReport bool
	Draining  bool // the backend server is leaving
	Shed      bool // the backend server stated that the request was not run
	// Misdirected is set where another backend server has the address; it
	// implies Shed.
	Misdirected bool
}

// Response is the head of a response. Body must be read to its end or closed.
type Response struct {
	Status        int
	Header        http.Header // without hop-by-hop fields and signals
	Body          io.ReadCloser
	ContentLength int64       // -1: unknown, chunked
	Trailer       http.Header // filled when Body has returned io.EOF
	Signals       Signals
}

// FailureKind says at which step an exchange failed.
type FailureKind uint8

// Kinds of failures.
const (
	Dial      FailureKind = iota + 1 // no connection
	Write                            // while the request was written
	Read                             // the connection broke before the head of the response was read
	Timeout                          // the deadline of the context passed, or the connection is silent
	Canceled                         // the context was cancelled
	Malformed                        // the request or the head of the response is not acceptable
)

var kindNames = [...]string{"", "dial", "write", "read", "timeout", "canceled", "malformed"}

// String returns the name in lower case.
func (k FailureKind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Failure is an exchange without a response. NotRun is set only if no
// connection was made or no byte of the request was written.
type Failure struct {
	NotRun bool
	Kind   FailureKind
	Err    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Kind.String() + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
