package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/routing"
)

const (
	// copyBufferBytes is the size of the buffer that streams a response body.
	copyBufferBytes = 32 << 10
	// prefetchBytes is the longest body that is read whole before the response
	// header goes to the caller. A backend server that breaks off such a body
	// costs a retry instead of a broken connection.
	prefetchBytes = 16 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// pass sends the response of an idempotent attempt to the caller.
func (rd *reader) pass(a *attempt) result {
	c := rd.call
	c.svc.hedgeDelay.Record(a.latency)
	length := a.resp.ContentLength
	if c.r.Method == http.MethodHead || !bodyAllowed(a.resp.Status) {
		length = 0
	}
	head, whole, err := prefetch(length, a.resp.Body)
	if err != nil {
		_ = a.resp.Body.Close()
		c.end(a, routing.Broken)
		return unknown(http.StatusBadGateway, reasonAttemptsFailed, "the backend server cut its response short")
	}
	c.offerKey()
	c.writeHeader(a, audit.Ran)
	res, o := c.stream(a, head, whole, nil)
	c.end(a, o)
	return res
}

// prefetch reads a short body whole. whole is false where the body is longer
// or of unknown length and has not been touched.
func prefetch(length int64, body io.Reader) (head []byte, whole bool, err error) {
	if length < 0 || length > prefetchBytes {
		return nil, false, nil
	}
	head = make([]byte, length)
	if _, err = io.ReadFull(body, head); err != nil {
		return nil, false, err
	}
	// One more read sees the end of the body, after which the connection can
	// be used again.
	_, err = body.Read(make([]byte, 1))
	if err != io.EOF {
		return nil, false, io.ErrUnexpectedEOF
	}
	return head, true, nil
}

func (c *call) writeHeader(a *attempt, run audit.Run) {
	h := c.w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	h.Set(headerRun, string(run))
	if a.resp.ContentLength >= 0 && h.Get("Content-Length") == "" && bodyAllowed(a.resp.Status) && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	c.w.WriteHeader(a.resp.Status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the body to the caller and, bounded, to keep. It closes the
// body.
func (c *call) stream(a *attempt, head []byte, whole bool, keep *bounded) (result, routing.Outcome) {
	defer func() { _ = a.resp.Body.Close() }()
	ok := result{outcome: audit.Answered, run: audit.Ran, status: a.resp.Status}
	gone := result{outcome: audit.Aborted, run: audit.Ran, status: a.resp.Status, reason: reasonCallerGone}
	o := outcomeOf(a)
	if len(head) > 0 {
		keep.write(head)
		if _, err := c.w.Write(head); err != nil {
			return gone, o
		}
	}
	if whole {
		return ok, o
	}
	buf, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	flusher, _ := c.w.(http.Flusher)
	callerGone := false
	for {
		n, err := a.resp.Body.Read(*buf)
		if n > 0 {
			keep.write((*buf)[:n])
			if !callerGone {
				callerGone = c.forward((*buf)[:n], flusher, err == nil) != nil
			}
			if callerGone && keep == nil {
				return gone, routing.Canceled
			}
		}
		switch {
		case err == io.EOF && callerGone:
			return gone, o
		case err == io.EOF:
			return ok, o
		case err != nil:
			keep.cut()
			cut := result{outcome: audit.Aborted, run: audit.Ran, status: a.resp.Status, reason: reasonResponseCut}
			return cut, routing.Broken
		}
	}
}

// forward writes a piece of the body. It flushes while more is to come, so
// that a slowly produced response is not held back.
func (c *call) forward(p []byte, flusher http.Flusher, more bool) error {
	if _, err := c.w.Write(p); err != nil {
		return err
	}
	if more && flusher != nil {
		flusher.Flush()
	}
	return nil
}

// bounded keeps the start of a response body for replay. A nil bounded keeps
// nothing.
type bounded struct {
	limit int
	data  []byte
	over  bool
}

func (b *bounded) write(p []byte) {
	if b == nil || b.over {
		return
	}
	if len(b.data)+len(p) > b.limit {
		b.cut()
		return
	}
	b.data = append(b.data, p...)
}

func (b *bounded) cut() {
	if b != nil {
		b.over, b.data = true, nil
	}
}

// answer returns the copy as the ledger keeps it.
func (b *bounded) answer(status int, contentType string) *peerpb.Answer {
	return &peerpb.Answer{Status: uint32(status), ContentType: contentType, Body: b.data, Whole: !b.over}
}

// replay sends a stored response to the caller.
func (c *call) replay(stored *peerpb.Answer) result {
	h := c.w.Header()
	if stored.GetContentType() != "" {
		h.Set("Content-Type", stored.GetContentType())
	}
	h.Set("Content-Length", strconv.Itoa(len(stored.GetBody())))
	h.Set(headerReplayed, "true")
	h.Set(headerRun, string(audit.Ran))
	c.offerKey()
	status := int(stored.GetStatus())
	c.w.WriteHeader(status)
	res := result{outcome: audit.Answered, run: audit.Ran, status: status, reason: reasonReplayed, keyState: keySpent}
	if _, err := c.w.Write(stored.GetBody()); err != nil {
		res.outcome, res.reason = audit.Aborted, reasonCallerGone
	}
	return res
}
