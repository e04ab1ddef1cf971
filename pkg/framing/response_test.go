package framing

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a head that another reader would read in another way, and against one that
// RFC 9112 allows and that is refused. Each head is tested with both ends of its lines.
func TestCheckResponseHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\n"
	for _, tt := range []struct {
		heads []string
		want  error
	}{
		{[]string{
			ok, "HTTP/1.0 200 OK\n", "HTTP/1.9 200 OK\n", "HTTP/1.1 200 \n", "HTTP/1.1 200\n", "HTTP/1.1 100 Continue\n",
			"HTTP/1.1 599 Tr\xc3\xa8s bien\t!\n",
			ok + "X-A:\nX-B: \t\nX-A: 1\nx-a: 1\nX-C:\tv \t\nX-D: \xe9\n", ok + "!#$%&'*+-.^_`|~09azAZ: 1\n",
			ok + "Content-Length: 2\n", ok + "Content-Length: 2\ncontent-length:2\n", "HTTP/1.0 200 OK\nContent-Length: 2\n",
			ok + "Transfer-Encoding: Chunked\n",
		}, nil},
		{[]string{
			"\n", "HTTP/1.1\n", "HTTP/1.1 \n", " " + ok, "HTTP/2.0 200 OK\n", "HTTP/0.9 200 OK\n", "HTTP/1. 200 OK\n", "HTTP/1.10 200 OK\n",
			"http/1.1 200 OK\n", "HTTP/1.1  200 OK\n", "HTTP/1.1\t200 OK\n", "HTTP/1.1 200\tOK\n", "HTTP/1.1 200OK\n",
			"HTTP/1.1 200 O\x00K\n", "HTTP/1.1 200 O\rK\n", "HTTP/1.1 000 x\n", "HTTP/1.1 099 x\n", "HTTP/1.1 600 x\n",
			"HTTP/1.1 +20 x\n", "HTTP/1.1 20 x\n", "HTTP/1.1 2000 x\n",
			ok + "X A: 1\n", ok + "X-A : 1\n", ok + "X-A\t: 1\n", ok + " X-A: 1\n", ok + "X-B: 1\n X-A: 1\n", ok + "X-B: 1\n\tfolded\n",
			ok + "X\x00A: 1\n", ok + "X\x01A: 1\n", ok + "X\x7fA: 1\n", ok + "X\xe9: 1\n", ok + "X(A): 1\n", ok + ": 1\n", ok + "X-A\n",
			ok + "X-A: a\x00b\n", ok + "X-A: a\rb\n", ok + "X-A: 1\r\r\n",
			ok + "Content-Length : 2\n", ok + "Content-Length: 2\nContent-Length: 3\n", ok + "Content-Length: 2, 2\n",
			ok + "Content-Length: +2\n", ok + "Content-Length:\n", ok + "Content-Length: 2\nTransfer-Encoding: chunked\n",
			ok + "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n", ok + "Transfer-Encoding: gzip, chunked\n",
			ok + "Transfer-Encoding: identity\n", "HTTP/1.0 200 OK\nTransfer-Encoding: chunked\n",
		}, ErrMalformedResponse},
	} {
		for _, head := range tt.heads {
			for _, end := range []string{"\r\n", "\n"} {
				raw := strings.ReplaceAll(head+"\n", "\n", end)
				require.ErrorIs(t, CheckResponseHead([]byte(raw)), tt.want, "%q", raw)
			}
		}
	}
}

// Guards against an error that repeats a line of any length.
func TestErrorsOfLongLinesAreShort(t *testing.T) {
	long := strings.Repeat("x", 1<<16)
	for _, raw := range []string{long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n"} {
		require.Less(t, len(CheckResponseHead([]byte(raw)).Error()), 2*maxExcerptBytes)
	}
}

// Guards against a response of which net/http has repaired the head.
func TestCheckResponse(t *testing.T) {
	for _, tt := range []struct {
		status int
		name   string
		valid  bool
	}{
		{100, "X-A", true}, {599, "x-a", true}, {0, "X-A", false}, {99, "X-A", false}, {600, "X-A", false},
		{200, "X A", false}, {200, "X-A ", false}, {200, "", false},
	} {
		err := CheckResponse(&http.Response{StatusCode: tt.status, Header: http.Header{tt.name: {"1"}}})
		require.Equal(t, tt.valid, err == nil, "%d %q", tt.status, tt.name)
	}
}
