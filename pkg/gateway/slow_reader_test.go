package gateway

import (
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/static"
	"lentilpin/pkg/transport"
	"lentilpin/standin/pipe"
)

// slowWriter is a caller that takes a part of a response in pause.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause    time.Duration
	deadline atomic.Pointer[time.Time]
	changed  chan struct{}
}

// SetWriteDeadline implements the method that http.ResponseController looks for.
func (w *slowWriter) SetWriteDeadline(t time.Time) error {
	w.deadline.Store(&t)
	select {
	case w.changed <- struct{}{}:
	default:
	}
	return nil
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	for taken := time.After(w.pause); ; {
		select {
		case <-taken:
			return w.ResponseRecorder.Write(p)
		case <-time.After(time.Until(*w.deadline.Load())):
			return 0, os.ErrDeadlineExceeded
		case <-w.changed:
		}
	}
}

// Guards against a response that is held until the deadline for a caller that does not
// read, against one that is cut off although its caller reads slowly, against a sum of held
// responses above the memory, and against a response that gives way before those of
// callers that read less.
func TestSlowReaders(t *testing.T) {
	const never = time.Hour
	limits := static.Defaults().Limits
	for _, tt := range []struct {
		desc   string
		memory int
		pauses []time.Duration // callers that begin one after the other, 10 ms apart
		want   []audit.Outcome
		ends   time.Duration // of the first caller
	}{
		{"reads at once", 1 << 20, []time.Duration{0}, []audit.Outcome{audit.OutcomeAnswered}, 0},
		{"reads slowly", 1 << 20, []time.Duration{2 * time.Second}, []audit.Outcome{audit.OutcomeAnswered}, 6 * time.Second},
		{"never reads", 1 << 20, []time.Duration{never}, []audit.Outcome{audit.OutcomeAborted}, 3 * time.Second},
		{"beside one that never reads", copyBufferBytes, []time.Duration{never, 1200 * time.Millisecond, 0}, []audit.Outcome{audit.OutcomeAborted, audit.OutcomeAnswered, audit.OutcomeAnswered}, 3 * time.Second},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits.ResponseMemoryBytes = tt.memory
				g := &Gateway{start: time.Now(), limits: newCallerLimits(tally.NoopScope, limits)}
				got := make([]audit.Outcome, len(tt.pauses))
				var callers sync.WaitGroup
				for i, pause := range tt.pauses {
					callers.Go(func() {
						w := &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: pause, changed: make(chan struct{}, 1)}
						c := &call{g: g, w: w, r: httptest.NewRequest(http.MethodGet, "/", nil), deadline: time.Now().Add(time.Minute)}
						defer c.releaseResponse()
						start := time.Now()
						a := &attempt{resp: &transport.Response{Status: http.StatusOK, ContentLength: -1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 3*copyBufferBytes)))}}
						res, _ := c.streamBody(a, nil, false, nil)
						got[i] = res.outcome
						if i == 0 {
							require.Equal(t, tt.ends, time.Since(start))
						}
					})
					time.Sleep(10 * time.Millisecond)
					require.LessOrEqual(t, g.limits.responses.memory.Stats().Held, int64(tt.memory))
				}
				callers.Wait()
				require.Equal(t, tt.want, got)
				require.Zero(t, g.limits.responses.memory.Stats().Held)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		limits.ResponseMemoryBytes = copyBufferBytes
		g := &Gateway{start: time.Now(), limits: newCallerLimits(tally.NoopScope, limits)}
		slow := &call{g: g, w: &slowWriter{ResponseRecorder: httptest.NewRecorder(), pause: never, changed: make(chan struct{}, 1)}, deadline: time.Now().Add(time.Minute)}
		require.True(t, slow.holdResponse(copyBufferBytes))
		done := make(chan error)
		go func() {
			err := slow.writePart(make([]byte, copyBufferBytes), false)
			slow.releaseResponse() // as at the end of each request
			done <- err
		}()
		time.Sleep(responsePatience)
		other := &call{g: g, w: httptest.NewRecorder()}
		require.True(t, other.holdResponse(copyBufferBytes), "the first one gives way")
		require.Error(t, <-done)
		require.ErrorIs(t, slow.writePart(nil, false), errGaveWay)
	})
}

// Guards against a response that ends as if it were complete although it gave way while its
// caller was taking a part of it, so that no write has failed.
func TestResponseThatGaveWayBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixtureWith(t, 1, 1, strings.Replace(treeText, `"timeoutMs": 1000`, `"timeoutMs": 10000`, 1))
		defer f.close()
		g := f.gateways[0]
		for _, b := range f.backends {
			b.SetScript(nil, pipe.LongBody)
		}
		got := f.sendTo(g, read("a"), func() {
			time.Sleep(responsePatience)
			other := &call{g: g, w: httptest.NewRecorder()}
			other.holdResponse(math.MaxInt64) // the first one gives way, later than this one waits
			other.releaseResponse()
		})
		require.EqualValues(t, 1, g.limits.responses.memory.Stats().GaveWay)
		require.Equal(t, http.StatusOK, got.Code)
		require.Less(t, got.Body.Len(), 20<<10)
		require.True(t, got.broken)
	})
}
