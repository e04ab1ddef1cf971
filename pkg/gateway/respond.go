package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/drain"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/routing"
)

const (
	// copyBufferBytes is the size of the buffers that stream response bodies.
	copyBufferBytes = 32 << 10
	// maxPrefetchBytes is the maximum length of a body that is read completely
	// before the response header is sent to the caller. If a backend server
	// closes the connection within such a body, the caller gets an error
	// response instead of a broken connection.
	maxPrefetchBytes = 16 << 10
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// sendResponse sends the response of an attempt to the caller.
func (ic *idempotentCall) sendResponse(a *attempt) result {
	c := ic.call
	c.svc.hedgeDelay.Record(a.latency)
	prefix, complete, err := c.prefetch(a)
	if err != nil {
		_ = a.resp.Body.Close()
		c.endAttempt(a, routing.Broken)
		return unknownResult(http.StatusBadGateway, reasonAttemptsFailed, "the backend server cut its response short")
	}
	c.setNewKeyHeader()
	c.writeResponseHeader(a, audit.Ran)
	res, o := c.streamBody(a, prefix, complete, nil)
	c.endAttempt(a, o)
	return res
}

// prefetch reads the body of a response as prefetchBody does.
func (c *call) prefetch(a *attempt) (prefix []byte, complete bool, err error) {
	length := a.resp.ContentLength
	if c.r.Method == http.MethodHead || !bodyAllowed(a.resp.Status) {
		length = 0
	}
	if length <= maxPrefetchBytes && !c.holdResponse(length) {
		return nil, false, nil
	}
	return prefetchBody(length, a.resp.Body)
}

// prefetchBody reads a body of up to maxPrefetchBytes completely. complete is
// false if the body is longer or of unknown length; it is then unread.
func prefetchBody(length int64, body io.Reader) (prefix []byte, complete bool, err error) {
	if length < 0 || length > maxPrefetchBytes {
		return nil, false, nil
	}
	prefix = make([]byte, length)
	if _, err = io.ReadFull(body, prefix); err != nil {
		return nil, false, err
	}
	// Another read consumes the end of the body, after which the connection can
	// be reused.
	_, err = body.Read(make([]byte, 1))
	if err != io.EOF {
		return nil, false, io.ErrUnexpectedEOF
	}
	return prefix, true, nil
}

func (c *call) writeResponseHeader(a *attempt, run audit.Run) {
	h := c.w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	h.Set(runHeader, string(run))
	c.announceDrain()
	hasBody := bodyAllowed(a.resp.Status) && c.r.Method != http.MethodHead
	if a.resp.ContentLength >= 0 && h.Get("Content-Length") == "" && hasBody {
		h.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	if a.resp.ContentLength < 0 && hasBody && !c.r.ProtoAtLeast(1, 1) {
		c.markWhole = drain.ResetUnlessWhole(c.r.Context())
	}
	c.w.WriteHeader(a.resp.Status)
}

// endBody marks the end of a body that was written completely. It returns an error if the
// caller does not take the rest.
func (c *call) endBody() error {
	if c.markWhole == nil {
		return nil
	}
	if err := c.writePart(nil, true); err != nil {
		return err
	}
	c.markWhole()
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// streamBody copies the body to the caller and to replay, then closes it.
// prefix is the part that was already read; complete is true if that is the
// whole body.
func (c *call) streamBody(a *attempt, prefix []byte, complete bool, replay *replayBuffer) (result, routing.Outcome) {
	defer func() { _ = a.resp.Body.Close() }()
	answered := result{outcome: audit.OutcomeAnswered, run: audit.Ran, status: a.resp.Status}
	aborted := result{outcome: audit.OutcomeAborted, run: audit.Ran, status: a.resp.Status, reason: reasonCallerGone}
	o := classifyAttempt(a)
	if len(prefix) > 0 {
		replay.write(prefix)
		if c.writePart(prefix, false) != nil {
			return aborted, o
		}
	}
	if complete {
		return answered, o
	}
	buf := c.takeCopyBuffer()
	defer returnCopyBuffer(buf)
	callerGone := false
	for {
		n, err := a.resp.Body.Read(*buf)
		if n > 0 {
			replay.write((*buf)[:n])
			if !callerGone {
				callerGone = c.writePart((*buf)[:n], err == nil) != nil
			}
			if callerGone && replay == nil {
				return aborted, routing.Canceled
			}
		}
		switch {
		case err == io.EOF && (callerGone || c.endBody() != nil):
			return aborted, o
		case err == io.EOF:
			return answered, o
		case err != nil:
			replay.cut()
			cut := result{outcome: audit.OutcomeAborted, run: audit.Ran, status: a.resp.Status, reason: reasonResponseCut}
			return cut, routing.Broken
		}
	}
}

// takeCopyBuffer returns a buffer that streams a response. It is small if the memory for
// responses is held by others.
func (c *call) takeCopyBuffer() *[]byte {
	if !c.holdResponse(copyBufferBytes) {
		small := make([]byte, smallPartBytes)
		return &small
	}
	buf, _ := copyBuffers.Get().(*[]byte)
	return buf
}

func returnCopyBuffer(buf *[]byte) {
	if len(*buf) == copyBufferBytes {
		copyBuffers.Put(buf)
	}
}

// replayBuffer stores a response body of up to limit bytes for replay and
// discards longer ones. A nil replayBuffer stores nothing.
type replayBuffer struct {
	limit      int
	data       []byte
	overflowed bool
}

func (b *replayBuffer) write(p []byte) {
	if b == nil || b.overflowed {
		return
	}
	if len(b.data)+len(p) > b.limit {
		b.cut()
		return
	}
	b.data = append(b.data, p...)
}

// cut discards the stored body and stores nothing more.
func (b *replayBuffer) cut() {
	if b != nil {
		b.overflowed, b.data = true, nil
	}
}

// answer returns the stored response in the form of the ledger.
func (b *replayBuffer) answer(status int, contentType string) *peerpb.Answer {
	return &peerpb.Answer{Status: uint32(status), ContentType: contentType, Body: b.data, Whole: !b.overflowed}
}

// sendReplay sends a stored response to the caller.
func (c *call) sendReplay(stored *peerpb.Answer) result {
	h := c.w.Header()
	if stored.GetContentType() != "" {
		h.Set("Content-Type", stored.GetContentType())
	}
	h.Set("Content-Length", strconv.Itoa(len(stored.GetBody())))
	h.Set(replayedHeader, "true")
	h.Set(runHeader, string(audit.Ran))
	c.setNewKeyHeader()
	c.announceDrain()
	status := int(stored.GetStatus())
	c.w.WriteHeader(status)
	res := result{outcome: audit.OutcomeAnswered, run: audit.Ran, status: status, reason: reasonReplayed, keyState: keyStateSpent}
	if _, err := c.w.Write(stored.GetBody()); err != nil {
		res.outcome, res.reason = audit.OutcomeAborted, reasonCallerGone
	}
	return res
}
