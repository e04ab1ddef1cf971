package framing

import (
	"bytes"
	"strconv"
)

// state is what the next byte of a connection belongs to.
type state uint8

const (
	inFirstLine state = iota
	inFields
	inBody      // of a stated length
	inChunkSize // the line before a chunk
	inChunk
	inChunkEnd // the CRLF behind a chunk
	inTrailers
	inOverlongLine // of a head; the server refuses a head of that length
	refused        // no further byte is passed on
)

// maxChunkLineBytes bounds the line before a chunk, with its extensions.
const maxChunkLineBytes = 4096

const (
	// malformedFirstLine makes a first line of any beginning one that net/http refuses.
	malformedFirstLine = " \x00\r\n\r\n"
	// malformedChunk is the line before a chunk that net/http refuses.
	malformedChunk = "\x00\r\n"
)

// reader reads the requests on a connection and writes them to out in certain framing.
type reader struct {
	maxLineBytes int
	out          []byte

	state     state
	first     firstLine
	line      []byte // the beginning of the current line, unless it is the first of a request
	head      head
	remaining uint64 // bytes of the current body or chunk
	trailers  int    // bytes of the trailers read so far
}

// feed reads the next bytes of the connection.
func (r *reader) feed(in []byte) {
	for len(in) > 0 && r.state != refused {
		switch r.state {
		case inFirstLine:
			in = r.readFirstLine(in)
		case inBody, inChunk:
			in = r.readData(in)
		case inOverlongLine:
			r.out = append(r.out, bytes.Repeat([]byte("x"), len(in))...)
			return
		default:
			in = r.readLine(in)
		}
	}
}

// readFirstLine passes the first line on byte by byte, so that a request that has begun to
// arrive is known to have begun.
func (r *reader) readFirstLine(in []byte) (rest []byte) {
	for i, c := range in {
		switch r.first.next(c) {
		case lineGoesOn:
			r.out = append(r.out, c)
		case lineIsComplete:
			r.out = append(r.out, c)
			r.head = head{isHTTP10: r.first.isHTTP10()}
			r.first = firstLine{}
			r.state = inFields
			return in[i+1:]
		case lineIsMalformed:
			r.out = append(r.out, malformedFirstLine...)
			r.state = refused
			return nil
		}
	}
	return nil
}

func (r *reader) readData(in []byte) (rest []byte) {
	n := int(min(uint64(len(in)), r.remaining))
	r.out = append(r.out, in[:n]...)
	r.remaining -= uint64(n)
	switch {
	case r.remaining > 0:
	case r.state == inChunk:
		r.state = inChunkEnd
	default:
		r.state = inFirstLine
	}
	return in[n:]
}

// readLine reads a line of any kind but the first.
func (r *reader) readLine(in []byte) (rest []byte) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		r.line = append(r.line, in...)
		r.checkLineLength()
		return nil
	}
	line := in[:end+1]
	if len(r.line) > 0 {
		line = append(r.line, line...)
	}
	text, isTerminated := bytes.CutSuffix(line, []byte("\r\n"))
	r.finishLine(text, isTerminated)
	r.line = nil
	return in[end+1:]
}

// checkLineLength refuses a line that is too long before its end has arrived.
func (r *reader) checkLineLength() {
	switch {
	case r.state == inFields && len(r.line) > r.maxLineBytes:
		r.line, r.state = nil, inOverlongLine
	case r.state == inTrailers && r.trailers+len(r.line) > r.maxLineBytes, r.state != inFields && r.state != inTrailers && len(r.line) > maxChunkLineBytes:
		r.refuseBody()
	}
}

// finishLine handles a complete line. isTerminated is false if it ends with a line feed
// alone.
func (r *reader) finishLine(line []byte, isTerminated bool) {
	switch {
	case r.state == inFields:
		r.finishField(line, isTerminated)
	case !isTerminated:
		r.refuseBody()
	case r.state == inChunkSize:
		r.finishChunkSize(line)
	case r.state == inChunkEnd && len(line) == 0:
		r.out = append(r.out, "\r\n"...)
		r.state = inChunkSize
	case r.state == inTrailers:
		r.finishTrailer(line)
	default:
		r.refuseBody()
	}
}

func (r *reader) finishField(line []byte, isTerminated bool) {
	if len(line) == 0 || !isTerminated && len(bytes.TrimSuffix(line, []byte("\n"))) == 0 {
		r.finishHead(isTerminated)
		return
	}
	if !isTerminated {
		r.head.fail("a line ends with a line feed alone")
		return
	}
	if r.head.add(line) {
		r.out = append(append(r.out, line...), "\r\n"...)
	}
}

func (r *reader) finishHead(isTerminated bool) {
	if !isTerminated {
		r.head.fail("a line ends with a line feed alone")
	}
	f := r.head.framing()
	switch {
	case f.err != "":
		r.out = append(append(append(r.out, ErrorField+": "...), f.err...), "\r\n"...)
		r.state = refused
	case f.isChunked:
		r.out = append(r.out, "Transfer-Encoding: chunked\r\n"...)
		r.state = inChunkSize
	case f.hasLength:
		r.out = strconv.AppendUint(append(r.out, "Content-Length: "...), f.length, 10)
		r.out = append(r.out, "\r\n"...)
		r.state, r.remaining = inBody, f.length
	}
	r.out = append(r.out, "\r\n"...)
	if r.state != refused && r.state != inChunkSize && r.remaining == 0 {
		r.state = inFirstLine
	}
}

func (r *reader) finishChunkSize(line []byte) {
	size, ok := parseChunkSize(line)
	switch {
	case !ok:
		r.refuseBody()
	case size == 0:
		r.state, r.trailers = inTrailers, 0
	default:
		r.out = append(strconv.AppendUint(r.out, size, 16), "\r\n"...)
		r.state, r.remaining = inChunk, size
	}
}

// finishTrailer drops a trailer. The body ends with the empty line.
func (r *reader) finishTrailer(line []byte) {
	r.trailers += len(line)
	if _, _, ok := parseField(line); len(line) > 0 && (!ok || r.trailers > r.maxLineBytes) {
		r.refuseBody()
		return
	}
	if len(line) == 0 {
		r.out = append(r.out, "0\r\n\r\n"...)
		r.state = inFirstLine
	}
}

// refuseBody ends a chunked body with an error.
func (r *reader) refuseBody() {
	r.out = append(r.out, malformedChunk...)
	r.state, r.line = refused, nil
}
