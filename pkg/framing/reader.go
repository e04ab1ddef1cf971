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
	refused // no further byte is passed on
)

// maxChunkLineBytes bounds the line before a chunk, with its extensions.
const maxChunkLineBytes = 4096

const (
	// malformedFirstLine makes a first line of any beginning one that net/http refuses.
	malformedFirstLine = " \x00\r\n\r\n"
	// malformedChunk is the line before a chunk that net/http refuses.
	malformedChunk = "\x00\r\n"
	// promptBytes is how much of a first line is passed on at once, so that a request that
	// has begun to arrive is known to have begun. net/http waits for four bytes.
	promptBytes = 8
	// refusedHost stands in for the field that net/http requires, in a head that is refused
	// before its fields are passed on.
	refusedHost = "Host: refused.invalid\r\n"
	// headCopies is how often the bytes of a complete head are in memory: as passed on, as
	// the strings of net/http, and as those that are derived from them.
	headCopies = 3
	// fieldMemoryBytes is what net/http needs for a field besides its bytes.
	fieldMemoryBytes = 160
)

// memory bounds what the heads of all connections need.
type memory interface {
	// hold states the bytes that the current head needs as long as it is unfinished. It
	// returns false if they are not free.
	hold(bytes int) bool
	// keep states what the complete head needs until its request has ended, and the length
	// of its first line.
	keep(bytes, line int) bool
}

// reader reads the requests on a connection and writes them to out in certain framing. It
// holds a head back until it is complete, so that an unfinished head costs its bytes and
// not what net/http makes of them.
type reader struct {
	headLimit    func() int // of a head, and of the trailers of a request
	maxHeadBytes int        // the limit when the current bytes arrived
	memory       memory
	out          []byte

	state     state
	first     firstLine
	line      []byte // the beginning of the current line, unless it is the first of a request
	pending   []byte // the current head without its prompt bytes and without line
	headBytes int    // read of the current head
	lineBytes int    // of the first line of the current head
	prompt    []byte // of the first line, those that were passed on
	fields    int    // of the current head
	head      head
	remaining uint64 // bytes of the current body or chunk
	trailers  int    // bytes of the trailers read so far
}

func newReader(headLimit func() int, m memory) reader {
	return reader{headLimit: headLimit, memory: m}
}

// feed reads the next bytes of the connection.
func (r *reader) feed(in []byte) {
	r.maxHeadBytes = r.headLimit()
	for len(in) > 0 && r.state != refused {
		switch r.state {
		case inFirstLine:
			in = r.readFirstLine(in)
		case inBody, inChunk:
			in = r.readData(in)
		default:
			in = r.readLine(in)
		}
	}
	if !r.memory.hold(cap(r.pending) + cap(r.line)) {
		r.refuse(NoMemory)
		r.memory.hold(0)
	}
}

// drop gives up the memory of an unfinished head. No further byte is read.
func (r *reader) drop() {
	recycle(r.pending)
	recycle(r.line)
	r.pending, r.line, r.prompt, r.state = nil, nil, nil, refused
}

// refuse refuses an unfinished head or unfinished trailers for the given reason. Of a head
// that is refused, only the first bytes are passed on.
func (r *reader) refuse(reason string) {
	switch r.state {
	case inFirstLine, inFields:
		if r.headBytes == 0 {
			return
		}
		r.out = append(append(r.out, restOfFirstLine(r.prompt)...), refusedHost...)
		r.refuseHead(reason)
	case inBody, inChunk, refused:
	default:
		r.refuseBody()
	}
}

// refuseHead ends the head with the mark of a refused request.
func (r *reader) refuseHead(reason string) {
	r.out = append(append(append(r.out, ErrorField+": "...), reason...), "\r\n\r\n"...)
	r.drop()
}

// restOfFirstLine completes a first line of which only start was passed on.
func restOfFirstLine(start []byte) string {
	const ending = " HTTP/1.1\r\n"
	parts := bytes.SplitN(start, []byte(" "), 3)
	switch {
	case len(parts) == 3:
		return ending[1+len(parts[2]):]
	case len(parts) == 1:
		return " /" + ending
	case len(parts[1]) == 0:
		return "/" + ending
	}
	return ending
}

// readFirstLine passes the beginning of the first line on byte by byte.
func (r *reader) readFirstLine(in []byte) (rest []byte) {
	for i, c := range in {
		progress := r.first.next(c)
		if progress == lineIsMalformed {
			r.out = append(r.out, malformedFirstLine...)
			r.drop()
			return nil
		}
		if r.headBytes++; r.headBytes > r.maxHeadBytes {
			r.refuse(TooLarge)
			return nil
		}
		if len(r.prompt) < promptBytes {
			r.prompt = append(r.prompt, c)
			r.out = append(r.out, c)
		} else {
			r.pending = append(grow(r.pending, 1), c)
		}
		if progress == lineIsComplete {
			r.head = head{isHTTP10: r.first.isHTTP10()}
			r.first = firstLine{}
			r.lineBytes = r.headBytes
			r.state = inFields
			return in[i+1:]
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
		if r.state == inFields {
			r.headBytes += len(in)
		}
		r.line = grow(r.line, len(in))
		r.line = append(r.line, in...)
		r.checkLength()
		return nil
	}
	if r.state == inFields {
		if r.headBytes += end + 1; r.headBytes > r.maxHeadBytes {
			r.refuse(TooLarge)
			return nil
		}
	}
	line := in[:end+1]
	if len(r.line) > 0 {
		r.line = append(grow(r.line, len(line)), line...)
		line = r.line
	}
	text, isTerminated := bytes.CutSuffix(line, []byte("\r\n"))
	r.finishLine(text, isTerminated)
	recycle(r.line)
	r.line = nil
	return in[end+1:]
}

// checkLength refuses what is too long before its end has arrived.
func (r *reader) checkLength() {
	switch {
	case r.state == inFields:
		if r.headBytes > r.maxHeadBytes {
			r.refuse(TooLarge)
		}
	case r.state == inTrailers && r.trailers+len(r.line) > r.maxHeadBytes, r.state != inTrailers && len(r.line) > maxChunkLineBytes:
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
	r.fields++
	if r.head.add(line) {
		r.pending = append(append(grow(r.pending, len(line)+2), line...), "\r\n"...)
	}
}

func (r *reader) finishHead(isTerminated bool) {
	if !isTerminated {
		r.head.fail("a line ends with a line feed alone")
	}
	f := r.head.framing()
	if !r.memory.keep(headCopies*r.headBytes+r.fields*fieldMemoryBytes, r.lineBytes) {
		r.refuse(NoMemory)
		return
	}
	switch {
	case f.err != "":
		r.pending = append(append(append(r.pending, ErrorField+": "...), f.err...), "\r\n"...)
		r.state = refused
	case f.isChunked:
		r.pending = append(r.pending, "Transfer-Encoding: chunked\r\n"...)
		r.state = inChunkSize
	case f.hasLength:
		r.pending = strconv.AppendUint(append(r.pending, "Content-Length: "...), f.length, 10)
		r.pending = append(r.pending, "\r\n"...)
		r.state, r.remaining = inBody, f.length
	}
	r.out = append(append(r.out, r.pending...), "\r\n"...)
	recycle(r.pending)
	r.pending, r.headBytes, r.prompt, r.fields, r.head = nil, 0, nil, 0, head{}
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
	if _, _, ok := parseField(line); len(line) > 0 && (!ok || r.trailers > r.maxHeadBytes) {
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
	r.drop()
}
