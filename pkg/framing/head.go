package framing

import (
	"bytes"
	"math"
	"strconv"
)

// progress is the state of a line after a byte.
type progress uint8

const (
	lineGoesOn progress = iota
	lineIsComplete
	lineIsMalformed
)

// Versions that the first line of a request may end with, up to the minor version.
const version = "HTTP/1."

// firstLine reads the first line of a request: method, target and version, with one space
// between them (RFC 9112, section 3).
type firstLine struct {
	spaces int // read so far
	length int // of the current part in bytes
	minor  byte
}

// next reads the next byte.
func (l *firstLine) next(c byte) progress {
	if c == ' ' && l.spaces < 2 {
		isEmpty := l.length == 0
		l.spaces, l.length = l.spaces+1, 0
		return malformedIf(isEmpty)
	}
	l.length++
	switch {
	case l.spaces == 0:
		return malformedIf(!isToken(c))
	case l.spaces == 1:
		return malformedIf(c <= ' ' || c == 0x7f)
	case l.length <= len(version):
		return malformedIf(c != version[l.length-1])
	case l.length == len(version)+1:
		l.minor = c
		return malformedIf(c != '0' && c != '1')
	case l.length == len(version)+2:
		return malformedIf(c != '\r')
	case c == '\n':
		return lineIsComplete
	}
	return lineIsMalformed
}

func (l *firstLine) isHTTP10() bool { return l.minor == '0' }

func malformedIf(isMalformed bool) progress {
	if isMalformed {
		return lineIsMalformed
	}
	return lineGoesOn
}

// head holds what the fields of a message say about its framing. It refers to none of
// their bytes.
type head struct {
	isHTTP10      bool
	lengths       int    // number of Content-Length fields
	length        uint64 // of the first one
	isLength      bool   // whether the first one is a length
	lengthsDiffer bool   // whether a further one is not the first length
	encodings     int    // number of Transfer-Encoding fields
	isChunked     bool   // whether the first one is chunked
	err           string // the first reason why the framing is not certain
}

// framing is where the body of a request ends. If err is not empty, that is not certain.
type framing struct {
	isChunked bool
	hasLength bool
	length    uint64
	err       string
}

func (h *head) fail(reason string) {
	if h.err == "" {
		h.err = reason
	}
}

// add reads a field line. It returns false for the fields that are not passed on as they
// are.
func (h *head) add(line []byte) bool {
	name, value, ok := parseField(line)
	switch {
	case !ok:
		h.fail("a line is no header field")
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, isLength := parseLength(value)
		if h.lengths++; h.lengths == 1 {
			h.length, h.isLength = length, isLength
		}
		h.lengthsDiffer = h.lengthsDiffer || !isLength || length != h.length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if h.encodings++; h.encodings == 1 {
			h.isChunked = bytes.EqualFold(value, []byte("chunked"))
		}
	case bytes.EqualFold(name, []byte(ErrorField)):
	default:
		return true
	}
	return false
}

// framing applies RFC 9112, sections 6.1 and 6.3. What a recipient may repair is refused.
func (h *head) framing() framing {
	f := framing{err: h.err}
	switch {
	case f.err != "":
	case h.lengths > 0 && h.encodings > 0:
		f.err = "the request has both Content-Length and Transfer-Encoding"
	case h.lengths > 1 || h.encodings > 1:
		f.err = "Content-Length or Transfer-Encoding is repeated"
	case h.encodings == 1:
		if f.isChunked = h.isChunked && !h.isHTTP10; !f.isChunked {
			f.err = "Transfer-Encoding must be chunked, in HTTP/1.1"
		}
	case h.lengths == 1:
		if f.length, f.hasLength = h.length, h.isLength; !f.hasLength {
			f.err = "Content-Length must be a decimal number"
		}
	}
	return f
}

// maxLengthDigits is the number of digits of the largest length, of 63 bits.
const maxLengthDigits = 19

// parseField splits a field line. Names are tokens right before the colon, and values
// have no control characters but tabs (RFC 9110, section 5).
func parseField(line []byte) (name, value []byte, ok bool) {
	n, v, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(n) == 0 || !every(n, isToken) || !every(v, isFieldByte) {
		return nil, nil, false
	}
	return n, bytes.Trim(v, " \t"), true
}

// parseLength parses a decimal number of at most 63 bits, with any number of zeros before
// its digits.
func parseLength(text []byte) (uint64, bool) {
	if !every(text, isDigit) { // ParseUint accepts a sign
		return 0, false
	}
	digits := bytes.TrimLeft(text, "0")
	if len(digits) == 0 {
		return 0, len(text) > 0
	}
	if len(digits) > maxLengthDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(string(digits), 10, 64)
	return n, err == nil && n <= math.MaxInt64
}

// parseChunkSize parses the line before a chunk: hexadecimal digits and extensions, which
// begin with a semicolon (RFC 9112, section 7.1).
func parseChunkSize(line []byte) (uint64, bool) {
	digits, extensions, _ := bytes.Cut(line, []byte(";"))
	if !every(digits, isHexDigit) || !every(extensions, isFieldByte) {
		return 0, false
	}
	n, err := strconv.ParseUint(string(digits), 16, 64)
	return n, err == nil && n <= math.MaxInt64
}

func every(s []byte, f func(byte) bool) bool {
	for _, c := range s {
		if !f(c) {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isHexDigit(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }

// isToken reports whether c may stand in a method or in the name of a field.
func isToken(c byte) bool {
	return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'z' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func isFieldByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }
