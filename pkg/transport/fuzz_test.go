package transport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lentilpin/pkg/framing"
	"lentilpin/pkg/transport"
	"lentilpin/standin/socket"
)

// Guards against a panic on a malformed load report, and against values that a
// backend server cannot have.
func FuzzParseReport(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		r, ok := transport.ParseReport(text)
		if r.Inflight < 0 || r.Queued < 0 || r.Slots < 0 || r.Latency < 0 {
			t.Fatalf("negative value in %+v", r)
		}
		if ok && !strings.Contains(text, "inflight=") {
			t.Fatalf("%q was accepted without the requests in flight", text)
		}
	})
}

// exchangeOnce performs one exchange with a backend server that responds with
// raw and then closes the connection. It reports whether the response was read
// as complete, and whether extra bytes followed it.
func exchangeOnce(raw []byte, method string) (complete bool, resp *transport.Response, body []byte, extraBytes bool) {
	recorder := &fakeRecorder{}
	p := transport.NewPool(transport.Options{Settings: settings(nil), Recorder: recorder, Dial: func(context.Context, string) (net.Conn, error) {
		client, peer := socketPair()
		go func() {
			defer peer.Close()
			socket.ServeRequests(peer, func(*http.Request, []byte) bool {
				_, _ = peer.Write(raw)
				return false
			})
		}()
		return client, nil
	}})
	defer p.Close()
	r := newGetRequest("/")
	r.Method = method
	resp, f := p.Do(context.Background(), "a:1", r)
	if f != nil {
		return false, nil, nil, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil, resp, body, recorder.count(5001) > 0
}

// Guards against a truncated response that is accepted as complete: the body
// must have the stated length, and without its last byte the response must be
// incomplete.
func FuzzReadResponse(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte, head bool) {
		if len(raw) > 4000 {
			t.Skip("bytes after the response may not have been read")
		}
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		complete, resp, body, extraBytes := exchangeOnce(raw, method)
		if !complete {
			return
		}
		if err := framing.CheckFieldNames(resp.Header); err != nil {
			t.Fatalf("accepted %q: %v", raw, err)
		}
		if resp.ContentLength >= 0 && !head && resp.Status != http.StatusNotModified && int64(len(body)) != resp.ContentLength {
			t.Fatalf("body has %d bytes, Content-Length is %d", len(body), resp.ContentLength)
		}
		if !bytes.Contains(raw, body) && len(body) > 0 && resp.ContentLength >= 0 {
			t.Fatalf("body %q is not part of %q", body, raw)
		}
		if extraBytes {
			return
		}
		if completeWithoutLast, _, _, _ := exchangeOnce(raw[:len(raw)-1], method); completeWithoutLast {
			t.Fatalf("accepted as complete without the last byte: %q", raw)
		}
	})
}
