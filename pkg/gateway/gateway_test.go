package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/events"
	"lentilpin/standin/pipe"
)

// setScript gives every backend server the same faults.
func (f *fixture) setScript(faults ...pipe.Fault) {
	for _, b := range f.backends {
		b.SetScript(nil, faults...)
	}
}

// failFirst gives the next attempt a fault, at whatever backend server.
func (f *fixture) failFirst(ft pipe.Fault) {
	for _, b := range f.backends {
		b.SetScript(func() { f.setScript() }, ft)
	}
	// The retry budget grows by one a second.
	time.Sleep(2 * time.Second)
}

func (f *fixture) arrived() (all []*http.Request) {
	for _, b := range f.backends {
		all = append(all, b.Arrived()...)
	}
	return all
}

// inBubble runs a test of one gateway in virtual time.
func inBubble(t *testing.T, backends int, run func(*testing.T, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, backends)
		defer f.close()
		run(t, f)
	})
}

// Guards against a backend server that works on past the caller's deadline, and
// against field values of a caller that reach it unchanged.
func TestFieldsForTheBackendServer(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *fixture) {
		r := read("a")
		r.Header.Set(headerTimeout, "700")
		r.Header.Set(headerRequestID, "forged")
		r.Header.Set(headerForwardedFor, "1.2.3.4")
		r.RemoteAddr = "5.6.7.8:90"
		got := f.send(f.gateways[0], r)
		require.Equal(t, http.StatusOK, got.Code)
		require.Len(t, f.arrived(), 1)
		h := f.arrived()[0].Header
		left, err := strconv.Atoi(h.Get(headerTimeout))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 700)
		require.Equal(t, got.Header().Get(headerRequestID), h.Get(headerRequestID))
		require.Equal(t, "1.2.3.4, 5.6.7.8", h.Get(headerForwardedFor))
	})
}

// Guards against wrong retries: each fault of the first backend server leads to
// the run and the status that is true for it.
func TestFirstAttemptFails(t *testing.T) {
	tests := []struct {
		desc        string
		fault       pipe.Fault
		readStatus  int
		orderStatus int
		orderRun    string
		orderRuns   int
	}{
		{"served", pipe.Serve, 200, 200, "ran", 1},
		{"shed before running", pipe.Shed, 200, 200, "ran", 1},
		{"connection refused", pipe.Refuse, 200, 200, "ran", 1},
		{"closed without reading", pipe.CloseUnread, 200, 502, "unknown", 0},
		{"closed after the run", pipe.CloseAfterRun, 200, 502, "unknown", 1},
		{"error status", pipe.ServerError, 200, 500, "ran", 1},
		{"503 without a statement", pipe.BareUnavailable, 200, 503, "unknown", 0},
		{"silent", pipe.Silent, 200, 504, "unknown", 1},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			inBubble(t, 2, func(t *testing.T, f *fixture) {
				f.failFirst(tc.fault)
				first := f.send(f.gateways[0], read("a"))
				require.Equal(t, tc.readStatus, first.Code, first.Body.String())
			})
			inBubble(t, 2, func(t *testing.T, f *fixture) {
				f.failFirst(tc.fault)
				got := f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
				require.Equal(t, tc.orderRun, got.Header().Get(headerRun), got.Body.String())
				require.Equal(t, tc.orderStatus, got.Code)
				require.Equal(t, tc.orderRuns, f.runs("a"))
			})
		})
	}
}

// Guards against an outage that the gateway's own retries multiply.
func TestOutageIsNotMultiplied(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *fixture) {
		const requests = 400
		script := make([]pipe.Fault, 4*requests)
		for i := range script {
			script[i] = pipe.ServerError
		}
		f.setScript(script...)
		for range requests {
			f.send(f.gateways[0], read("a"))
			time.Sleep(5 * time.Millisecond)
		}
		// 10% of the requests, one a second for 2 s, and the initial store of
		// the budget, which is bounded by its capacity.
		extra := len(f.arrived()) - requests
		require.LessOrEqual(t, extra, requests/10+2+int(f.gateways[0].service("shop").retries.Capacity()))
	})
}

// Guards against requests that wait without bound when all servers are busy.
func TestOverloadIsShed(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *fixture) {
		script := make([]pipe.Fault, 200)
		for i := range script {
			script[i] = pipe.Slow
		}
		f.setScript(script...)
		var wg sync.WaitGroup
		var mu sync.Mutex
		reasons := map[string]int{}
		for range 100 {
			wg.Go(func() {
				got := f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
				mu.Lock()
				defer mu.Unlock()
				if strings.Contains(got.Body.String(), reasonOverloaded) {
					require.Equal(t, "not_run", got.Header().Get(headerRun))
					require.NotEmpty(t, got.Header().Get("Retry-After"))
				}
				reasons[got.Header().Get(headerRun)]++
			})
		}
		wg.Wait()
		require.Positive(t, reasons["not_run"])
		require.Equal(t, reasons["ran"], f.runs("a"))
	})
}

// Guards against a key that is refused without a true statement.
func TestOrdersWithoutAnIssuedKey(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *fixture) {
		for key, reason := range map[string]string{"": reasonKeyRequired, "my-own-key": "key_not_issued"} {
			got := f.send(f.gateways[0], order("a", key))
			require.Contains(t, got.Body.String(), reason)
			require.Equal(t, "not_run", got.Header().Get(headerRun))
			fresh := got.Header().Get(headerKey)
			require.NotEmpty(t, fresh)
			require.Equal(t, "ran", f.send(f.gateways[0], order("b", fresh)).Header().Get(headerRun))
		}
		require.Zero(t, f.runs("a"))
		require.Equal(t, uint64(4), f.gateways[0].log.Dropped().Requests)
		require.Equal(t, uint64(2), f.gateways[0].log.Dropped().RequestsByResult[audit.OutcomeNotRun])
	})
}

type recorded struct {
	mu  sync.Mutex
	all []*events.Event
}

func (r *recorded) Record(e *events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, e)
}

// Guards against an order that is lost without a line on the log stream.
func TestLossIsLogged(t *testing.T) {
	for ft, want := range map[pipe.Fault]*events.Event{pipe.CloseAfterRun: EventUnknown, pipe.BareUnavailable: EventUnknown, pipe.CutShort: EventUndelivered, pipe.Serve: nil} {
		inBubble(t, 1, func(t *testing.T, f *fixture) {
			rec := &recorded{}
			f.gateways[0].o.Recorder = rec
			f.setScript(ft)
			f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
			if want == nil {
				require.Empty(t, rec.all)
				return
			}
			// The loss itself, and once the whole story of the request.
			require.Equal(t, []*events.Event{EventRequest, want}, rec.all)
		})
	}
}
