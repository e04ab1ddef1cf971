package transport

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"lentilpin/pkg/events"
	"lentilpin/pkg/framing"
)

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
		head, err := x.buffers.input.readHead(x.buffers.reader, &x.buffers.request)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(framing.ErrMalformedResponse, "protocol switch that was not requested")
		}
	}
	return nil, errors.Wrap(framing.ErrMalformedResponse, "too many interim responses")
}

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
