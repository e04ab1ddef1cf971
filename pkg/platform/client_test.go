package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/events"
	"lentilpin/pkg/framing"
	"lentilpin/pkg/platform"
	standin "lentilpin/standin/platform"
	"lentilpin/standin/socket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRecorder collects the names of the recorded events.
type fakeRecorder struct {
	mu    sync.Mutex
	names []string
}

func (r *fakeRecorder) Record(e *events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.names = append(r.names, e.Name)
}

const published = `{"version": 7, "fleet": {"defaults": {}}}`

// Guards against errors of the client over a real connection: a tree that differs
// from the published bytes, a failed call that is not reported, an oversized tree
// that is accepted because its compressed form is small, and an instance list
// that does not arrive.
func TestClientReadsTheStandIn(t *testing.T) {
	s := standin.New(0)
	server := httptest.NewServer(s.ReadHandler())
	defer server.Close()
	recorder := &fakeRecorder{}
	c := platform.NewClient(server.URL, 200, recorder)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()

	require.NoError(t, s.Publish([]byte(published+"\n")))
	version, text, err := c.WatchTree(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(7), version)
	require.Equal(t, published, string(text))
	_, _, err = c.ReadTree(ctx, 7)
	require.ErrorIs(t, err, platform.ErrUnchanged)

	s.SetFaults(standin.Faults{Down: true})
	_, _, err = c.ReadTree(ctx, 7)
	require.ErrorContains(t, err, "503")
	s.SetFaults(standin.Faults{})
	_, _, err = c.ReadTree(ctx, 7)
	require.ErrorIs(t, err, platform.ErrUnchanged)
	require.Equal(t, []string{"platform_unreachable", "platform_reachable"}, recorder.names)

	require.NoError(t, s.Publish([]byte(`{"version": 8, "fleet": {"defaults": {"x": "`+strings.Repeat("x", 3000)+`"}}}`)))
	_, _, err = c.ReadTree(ctx, 7)
	require.ErrorIs(t, err, platform.ErrTooLarge)

	s.SetInstances(slices.Repeat([]standin.Instance{{Name: "entry-1", Kind: "entry", Address: "127.0.0.1:1", State: "live"}}, 50))
	_, list, err := c.WatchInstances(ctx, 0)
	require.NoError(t, err)
	require.Len(t, list, 50)
	require.Equal(t, platform.KindEntry, list[49].Kind)
}

// Guards against a stand-in that lets one of two concurrent writers overwrite the
// tree of the other, or that accepts more reads per second than the real service.
func TestStandInRefuses(t *testing.T) {
	s := standin.New(0)
	admin := s.AdminHandler()
	put := func(path, body string) int {
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(http.MethodPut, path, strings.NewReader(body)))
		return w.Code
	}
	require.Equal(t, http.StatusNoContent, put("/tree", published))
	require.Equal(t, http.StatusConflict, put("/tree", published))
	require.Equal(t, http.StatusConflict, put("/tree", `{"version": 6}`))
	require.Equal(t, http.StatusNoContent, put("/faults", `{"frozenAt": 6}`))
	reader := s.ReadHandler()
	codes := map[int]int{}
	for range 3 * standin.MaxReadsPerSecond {
		w := httptest.NewRecorder()
		reader.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/config/tree?after=0&waitMs=0", nil))
		codes[w.Code]++
	}
	require.Equal(t, codes[http.StatusTooManyRequests], s.Counters().Refused)
	require.Equal(t, 3*standin.MaxReadsPerSecond, codes[http.StatusTooManyRequests]+codes[http.StatusNotModified])
}

// Guards against a reply whose head is not well formed that is read as a tree.
func TestMalformedReply(t *testing.T) {
	for _, head := range []string{"200 OK", "200 OK\r\nX A: 1", "200 OK\r\nX-A : 1", "304 x\r\nX A: 1", "429 x\r\nX A: 1"} {
		server, err := socket.Listen(func(c net.Conn, _ int) {
			socket.ServeRequests(c, func(*http.Request, []byte) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 24\r\n\r\n%s", head, `{"version":7,"value":{}}`)
				return false
			})
		})
		require.NoError(t, err)
		c := platform.NewClient("http://"+server.Address(), 200, &fakeRecorder{})
		_, _, err = c.ReadTree(t.Context(), 0)
		if head == "200 OK" {
			require.NoError(t, err)
		} else {
			require.ErrorIs(t, err, framing.ErrMalformedResponse, head)
		}
		c.Close()
		server.Stop()
	}
}
