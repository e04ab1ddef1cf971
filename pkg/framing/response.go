package framing

import (
	"bytes"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrMalformedResponse is the error of a response whose head is not well formed.
var ErrMalformedResponse = errors.New("malformed response")

// minStatus and maxStatus are the first and the last status of RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponseHead returns an error that wraps ErrMalformedResponse unless raw is the head
// of a response, final or interim, in the grammar of RFC 9112, sections 2 to 6: the bytes
// from its status line up to and including its empty line. net/http accepts more and repairs
// it, for example blanks in the name of a field, which it then does not recognize as
// Content-Length. Beyond the grammar, a line may end with a line feed alone (section 2.2),
// the space after the status may be missing, and a length may be repeated (section 6.3).
func CheckResponseHead(raw []byte) error {
	line, rest, _ := bytes.Cut(raw, []byte("\n"))
	h, ok := parseStatusLine(trimCarriageReturn(line))
	if !ok {
		return errors.Wrapf(ErrMalformedResponse, "status line %q", excerpt(line))
	}
	for {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = trimCarriageReturn(line)
		if len(line) == 0 {
			break
		}
		h.add(line)
		if h.err != "" {
			return errors.Wrapf(ErrMalformedResponse, "%s: %q", h.err, excerpt(line))
		}
	}
	switch {
	case h.lengths > 0 && h.encodings > 0:
		return errors.Wrap(ErrMalformedResponse, "both Content-Length and Transfer-Encoding")
	case h.encodings > 0 && (h.encodings > 1 || !h.isChunked || h.isHTTP10):
		return errors.Wrap(ErrMalformedResponse, "Transfer-Encoding must be chunked, once, in HTTP/1.1")
	case h.lengths > 0 && (!h.isLength || h.lengthsDiffer):
		return errors.Wrap(ErrMalformedResponse, "Content-Length must be one decimal number")
	}
	return nil
}

// CheckResponse is CheckResponseHead for a response of which only what net/http has made of
// its head is known: it checks the status and the names of the fields.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformedResponse, "status %q", r.Status)
	}
	return CheckFieldNames(r.Header)
}

// CheckFieldNames returns an error that wraps ErrMalformedResponse unless the names of all
// fields are tokens (RFC 9110, section 5.1).
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if len(name) == 0 || !every([]byte(name), isToken) {
			return errors.Wrapf(ErrMalformedResponse, "field name %q", name)
		}
	}
	return nil
}

// Places in a status line: the minor version, the space behind it, the status, the reason.
const (
	minorAt  = len(version)
	spaceAt  = minorAt + 1
	statusAt = spaceAt + 1
	reasonAt = statusAt + 3
)

// parseStatusLine returns the beginning of a head. It returns false unless line is a status
// line of HTTP/1 with a status from 100 to 599 (RFC 9112, section 4).
func parseStatusLine(line []byte) (h head, ok bool) {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(version)) {
		return head{}, false
	}
	status, reason := line[statusAt:reasonAt], line[reasonAt:]
	ok = isDigit(line[minorAt]) && line[spaceAt] == ' ' && every(status, isDigit) &&
		status[0] >= '0'+minStatus/100 && status[0] <= '0'+maxStatus/100 &&
		(len(reason) == 0 || reason[0] == ' ') && every(reason, isFieldByte)
	return head{isHTTP10: line[minorAt] == '0'}, ok
}

func trimCarriageReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// maxExcerptBytes bounds what an error repeats of a malformed line.
const maxExcerptBytes = 80

func excerpt(line []byte) []byte { return line[:min(len(line), maxExcerptBytes)] }
