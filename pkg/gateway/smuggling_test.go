package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/static"
	"lentilpin/standin/pipe"
)

// hiddenRequest is a request in the body of another one.
const hiddenRequest = "POST /shop/hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

var smugglingSeeds = func() (out []string) {
	read := "GET /shop/read HTTP/1.1\r\nHost: h\r\n\r\n"
	head := "POST /shop/order HTTP/1.1\r\nHost: h\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", 5+len(hiddenRequest))
	chunked := "Transfer-Encoding: chunked\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hiddenRequest), hiddenRequest)
	for _, prefix := range []string{"", read, head + "Content-Length: 1\r\n\r\nx", head + chunked + "\r\n1\r\nx\r\n0\r\n\r\n"} {
		for _, fields := range []string{
			length, chunked, length + chunked, chunked + length, length + "Transfer-Encoding: identity\r\n", length + "Transfer-Encoding : chunked\r\n",
			length + "X: y\n" + chunked, length + "Transfer-Encoding:\tchunked\r\n", "Content-Length: 5\r\n" + length, length + length, "X: y\r\n " + length,
			"Content-Length: +5\r\n", "Content-Length: 5, 5\r\n", chunked + "Expect: 100-continue\r\n", "Connection: upgrade\r\nUpgrade: h2c\r\n" + length,
		} {
			out = append(out, prefix+head+fields+"\r\n0\r\n\r\n"+hiddenRequest, prefix+head+fields+"\r\n"+chunk+read)
		}
	}
	return append(out, strings.ReplaceAll(head+length+chunked+"\r\n0\r\n\r\n", "\r\n", "\n")+hiddenRequest,
		"POST /shop/order HTTP/1.0\r\nConnection: keep-alive\r\n"+chunked+"\r\n0\r\n\r\n"+hiddenRequest, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"+read)
}()

// FuzzRequestsOnAConnection guards against a backend server that runs a request which the
// strict reading of a connection doesn't contain, such as one hidden in the body of another.
func FuzzRequestsOnAConnection(f *testing.F) {
	for _, seed := range smugglingSeeds {
		f.Add([]byte(seed), uint8(len(seed)))
	}
	f.Fuzz(func(t *testing.T, stream []byte, pieceBytes uint8) {
		synctest.Test(t, func(t *testing.T) {
			allowed := strictRequests(string(stream))
			for _, got := range runOnConnection(t, stream, int(pieceBytes)) {
				require.Contains(t, allowed, got)
				allowed[got]--
				require.GreaterOrEqual(t, allowed[got], 0, "%s runs too often", got)
			}
		})
	})
}

// runOnConnection sends a stream to a gateway, in pieces, and returns the requests that run.
func runOnConnection(t *testing.T, stream []byte, pieceBytes int) (out []string) {
	f := newFixtureWith(t, 1, 1, strings.Replace(treeText, `"timeoutMs"`, `"requireKey": false, "timeoutMs"`, 1))
	defer f.close()
	listener := pipe.NewListener()
	server := NewServer(f.gateways[0], listener, static.Defaults().Limits)
	f.loops.Go(func() { _ = server.Serve() })
	defer server.Close()
	caller, accepted := net.Pipe()
	require.NoError(t, listener.Connect(context.Background(), accepted))
	f.loops.Go(func() { _, _ = io.Copy(io.Discard, caller) })
	for len(stream) > 0 {
		n := min(len(stream), max(1, pieceBytes))
		if _, err := caller.Write(stream[:n]); err != nil {
			break // the server has closed the connection
		}
		stream = stream[n:]
	}
	time.Sleep(10 * time.Second) // above all timeouts of the server and the services
	_ = caller.Close()
	for _, r := range f.arrivedRequests() {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		out = append(out, fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body))
	}
	return out
}

var (
	firstLinePattern = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\\x00-\\x20\\x7f]+) HTTP/1\\.([01])$")
	fieldPattern     = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)$")
	chunkPattern     = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})(;[^\x00-\x08\x0a-\x1f\x7f]*)?$`)
)

// strictRequests counts the requests in a stream, up to the first whose framing RFC 9112
// doesn't settle beyond doubt. It is written apart from package framing.
func strictRequests(stream string) map[string]int {
	out := map[string]int{}
	for {
		head, rest, isComplete := strings.Cut(stream, "\r\n\r\n")
		lines := strings.Split(head, "\r\n")
		first := firstLinePattern.FindStringSubmatch(lines[0])
		if !isComplete || first == nil {
			return out
		}
		fields := map[string][]string{}
		for _, line := range lines[1:] {
			field := fieldPattern.FindStringSubmatch(line)
			if field == nil {
				return out
			}
			name := strings.ToLower(field[1])
			fields[name] = append(fields[name], strings.TrimRight(field[2], " \t"))
		}
		body, rest, ok := strictBody(rest, fields["content-length"], fields["transfer-encoding"], first[3] == "1")
		if !ok {
			return out
		}
		out[fmt.Sprintf("%s %s %q", first[1], first[2], body)]++
		stream = rest
	}
}

func strictBody(stream string, lengths, encodings []string, isHTTP11 bool) (body, rest string, ok bool) {
	switch {
	case len(lengths)+len(encodings) == 0:
		return "", stream, true
	case len(lengths)+len(encodings) > 1:
		return "", "", false
	case len(encodings) == 1:
		return strictChunks(stream, isHTTP11 && strings.EqualFold(encodings[0], "chunked"))
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || n > uint64(len(stream)) {
		return "", "", false
	}
	return stream[:n], stream[n:], true
}

func strictChunks(stream string, ok bool) (body, rest string, _ bool) {
	for ok {
		var line string
		line, stream, ok = strings.Cut(stream, "\r\n")
		match := chunkPattern.FindStringSubmatch(line)
		if !ok || match == nil {
			return "", "", false
		}
		n, err := strconv.ParseUint(match[1], 16, 63)
		if err != nil || n > uint64(len(stream)) {
			return "", "", false
		}
		if n == 0 {
			for {
				line, stream, ok = strings.Cut(stream, "\r\n")
				if !ok || line != "" && !fieldPattern.MatchString(line) {
					return "", "", false
				}
				if line == "" {
					return body, stream, true
				}
			}
		}
		body += stream[:n]
		stream, ok = strings.CutPrefix(stream[n:], "\r\n")
	}
	return "", "", false
}
