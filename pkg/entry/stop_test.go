package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/backend"
)

// lateCaller sends one order on a connection of its own, in parts.
type lateCaller struct {
	t    *testing.T
	conn net.Conn
	name string
}

func newLateCaller(t *testing.T, address, name string) *lateCaller {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &lateCaller{t, conn, name}
}

func (c *lateCaller) write(text string) {
	_, err := io.WriteString(c.conn, text)
	require.NoError(c.t, err)
}

// header returns the header of the order, whose body is two bytes.
func (c *lateCaller) header(key string) string {
	return fmt.Sprintf("POST /shop/orders/%s HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\n", c.name, key)
}

// read returns the response, or nil if the connection ended without one.
func (c *lateCaller) read() *http.Response {
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	return resp
}

// Guards against an order that is accepted late in a planned stop, runs longer than the
// grace, and is cut off without a response.
func TestOrdersLateInAStop(t *testing.T) {
	for _, tt := range []struct {
		desc string
		// before is sent before the stop and after once the drain has ended.
		before, after func(c *lateCaller, key string) string
	}{
		{"new connection", func(*lateCaller, string) string { return "" }, func(c *lateCaller, key string) string { return c.header(key) + "ab" }},
		{"header late", func(*lateCaller, string) string { return "POST" }, func(c *lateCaller, key string) string { return c.header(key)[len("POST"):] + "ab" }},
		{"body late", func(c *lateCaller, key string) string { return c.header(key) + "a" }, func(*lateCaller, string) string { return "b" }},
		{"body never", func(c *lateCaller, key string) string { return c.header(key) + "a" }, func(*lateCaller, string) string { return "" }},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFleetWithStop(t, 2, stopTimes{drainMS: 50, graceMS: 1500}, backend.Config{ServiceTime: "const:4000"})
			key := f.key(1)
			c := newLateCaller(t, f.callers(0), "late")
			c.write(tt.before(c, key))
			f.key(0) // on a later connection: the first one has been accepted
			var stopped sync.WaitGroup
			stopped.Go(func() { f.stopEntry(0) })
			f.waitFor("the drain has ended", func() bool {
				conn, err := net.Dial("tcp", f.callers(0))
				if err == nil {
					_ = conn.Close()
				}
				return err != nil
			})
			c.write(tt.after(c, key))
			resp := c.read()
			stopped.Wait()
			require.Empty(t, f.countRuns(), "the order was passed on")
			require.NotNil(t, resp, "the order got no response")
			require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusRequestTimeout}, resp.StatusCode)
			require.NotEqual(t, "ran", resp.Header.Get("Lentilpin-Run"))
		})
	}
}
