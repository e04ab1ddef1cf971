package framing

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a head that another reader would read in another way, and against one that
// RFC 9112 allows and that is refused.
func TestCheckResponseHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK"
	tests := []struct {
		statusLine string
		fields     []string // without line ends
		valid      bool
	}{
		{statusLine: ok, valid: true},
		{statusLine: "HTTP/1.0 200 OK", valid: true},
		{statusLine: "HTTP/1.9 200 OK", valid: true},
		{statusLine: "HTTP/1.1 200 ", valid: true},
		{statusLine: "HTTP/1.1 200", valid: true},
		{statusLine: "HTTP/1.1 599 Tr\xc3\xa8s bien\t!", valid: true},
		{statusLine: "HTTP/1.1 100 Continue", valid: true},
		{statusLine: ""},
		{statusLine: "HTTP/1.1"},
		{statusLine: "HTTP/1.1 "},
		{statusLine: "HTTP/2.0 200 OK"},
		{statusLine: "HTTP/0.9 200 OK"},
		{statusLine: "HTTP/1. 200 OK"},
		{statusLine: "HTTP/1.10 200 OK"},
		{statusLine: "http/1.1 200 OK"},
		{statusLine: " " + ok},
		{statusLine: "HTTP/1.1  200 OK"},
		{statusLine: "HTTP/1.1\t200 OK"},
		{statusLine: "HTTP/1.1 200\tOK"},
		{statusLine: "HTTP/1.1 200OK"},
		{statusLine: "HTTP/1.1 200 O\x00K"},
		{statusLine: "HTTP/1.1 200 O\rK"},
		{statusLine: "HTTP/1.1 000 x"},
		{statusLine: "HTTP/1.1 099 x"},
		{statusLine: "HTTP/1.1 600 x"},
		{statusLine: "HTTP/1.1 +20 x"},
		{statusLine: "HTTP/1.1 20 x"},
		{statusLine: "HTTP/1.1 2000 x"},

		{ok, []string{"X-A:", "X-B: \t", "X-A: 1", "x-a: 1", "X-C:\tv \t", "X-D: \xe9"}, true},
		{ok, []string{"!#$%&'*+-.^_`|~09azAZ: 1"}, true},
		{ok, []string{"Content-Length: 2"}, true},
		{ok, []string{"Content-Length: 2", "content-length:2"}, true},
		{ok, []string{"Transfer-Encoding: Chunked"}, true},
		{"HTTP/1.0 200 OK", []string{"Content-Length: 2"}, true},
		{ok, []string{"X A: 1"}, false},
		{ok, []string{"X-A : 1"}, false},
		{ok, []string{"X-A\t: 1"}, false},
		{ok, []string{" X-A: 1"}, false},
		{ok, []string{"X-B: 1", " X-A: 1"}, false},
		{ok, []string{"X-B: 1", "\tfolded"}, false},
		{ok, []string{"X\x00A: 1"}, false},
		{ok, []string{"X\x01A: 1"}, false},
		{ok, []string{"X\x7fA: 1"}, false},
		{ok, []string{"X\xe9: 1"}, false},
		{ok, []string{"X(A): 1"}, false},
		{ok, []string{": 1"}, false},
		{ok, []string{"X-A"}, false},
		{ok, []string{"X-A: a\x00b"}, false},
		{ok, []string{"X-A: a\rb"}, false},
		{ok, []string{"X-A: 1\r\r"}, false},
		{ok, []string{"Content-Length : 2"}, false},
		{ok, []string{"Content-Length: 2", "Content-Length: 3"}, false},
		{ok, []string{"Content-Length: 2, 2"}, false},
		{ok, []string{"Content-Length: +2"}, false},
		{ok, []string{"Content-Length:"}, false},
		{ok, []string{"Content-Length: 2", "Transfer-Encoding: chunked"}, false},
		{ok, []string{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"}, false},
		{ok, []string{"Transfer-Encoding: gzip, chunked"}, false},
		{ok, []string{"Transfer-Encoding: identity"}, false},
		{"HTTP/1.0 200 OK", []string{"Transfer-Encoding: chunked"}, false},
	}
	for _, tt := range tests {
		for _, end := range []string{"\r\n", "\n"} {
			raw := strings.Join(append([]string{tt.statusLine}, tt.fields...), end) + end + end
			err := CheckResponseHead([]byte(raw))
			if tt.valid {
				require.NoError(t, err, "%q", raw)
				continue
			}
			require.ErrorIs(t, err, ErrMalformedResponse, "%q", raw)
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
