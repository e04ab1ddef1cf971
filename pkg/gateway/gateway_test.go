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

// setFaults sets the same faults on every backend server.
func (f *fixture) setFaults(faults ...pipe.Fault) {
	for _, b := range f.backends {
		b.SetScript(nil, faults...)
	}
}

// failNextAttempt sets a fault for the next attempt only, whichever backend
// server it is sent to.
func (f *fixture) failNextAttempt(ft pipe.Fault) {
	for _, b := range f.backends {
		b.SetScript(func() { f.setFaults() }, ft)
	}
	// The retry budget gains one token per second.
	time.Sleep(2 * time.Second)
}

func (f *fixture) arrivedRequests() (all []*http.Request) {
	for _, b := range f.backends {
		all = append(all, b.Requests()...)
	}
	return all
}

// runInVirtualTime runs a test of one gateway in a synctest bubble.
func runInVirtualTime(t *testing.T, backends int, run func(*testing.T, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, backends)
		defer f.close()
		run(t, f)
	})
}

// Guards against backend servers that work past the caller's deadline because
// they do not know it, and against forged header fields of a caller that reach
// a backend server unchanged.
func TestHeaderFieldsForBackendServer(t *testing.T) {
	runInVirtualTime(t, 1, func(t *testing.T, f *fixture) {
		r := read("a")
		r.Header.Set(timeoutHeader, "700")
		r.Header.Set(requestIDHeader, "forged")
		r.Header.Set(forwardedForHeader, "1.2.3.4")
		r.RemoteAddr = "5.6.7.8:90"
		got := f.send(f.gateways[0], r)
		require.Equal(t, http.StatusOK, got.Code)
		require.Len(t, f.arrivedRequests(), 1)
		h := f.arrivedRequests()[0].Header
		remainingMS, err := strconv.Atoi(h.Get(timeoutHeader))
		require.NoError(t, err)
		require.LessOrEqual(t, remainingMS, 700)
		require.Equal(t, got.Header().Get(requestIDHeader), h.Get(requestIDHeader))
		require.Equal(t, "1.2.3.4, 5.6.7.8", h.Get(forwardedForHeader))
	})
}

// Guards against wrong retries. Each fault of the first backend server must
// lead to the correct run and status.
func TestFirstAttemptFails(t *testing.T) {
	tests := []struct {
		desc                string
		fault               pipe.Fault
		idempotentStatus    int
		nonIdempotentStatus int
		statedRun           string
		runCount            int
	}{
		{"served", pipe.Serve, 200, 200, "ran", 1},
		{"shed before running", pipe.Shed, 200, 200, "ran", 1},
		{"connection refused", pipe.RefuseConnection, 200, 200, "ran", 1},
		{"closed without reading", pipe.CloseUnread, 200, 502, "unknown", 0},
		{"closed after the run", pipe.CloseAfterRun, 200, 502, "unknown", 1},
		{"error status", pipe.ServerError, 200, 500, "ran", 1},
		{"503 without a run statement", pipe.UnavailableNotRun, 200, 503, "unknown", 0},
		{"silent", pipe.Silent, 200, 504, "unknown", 1},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			runInVirtualTime(t, 2, func(t *testing.T, f *fixture) {
				f.failNextAttempt(tc.fault)
				first := f.send(f.gateways[0], read("a"))
				require.Equal(t, tc.idempotentStatus, first.Code, first.Body.String())
			})
			runInVirtualTime(t, 2, func(t *testing.T, f *fixture) {
				f.failNextAttempt(tc.fault)
				got := f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
				require.Equal(t, tc.statedRun, got.Header().Get(runHeader), got.Body.String())
				require.Equal(t, tc.nonIdempotentStatus, got.Code)
				require.Equal(t, tc.runCount, f.countRuns("a"))
			})
		})
	}
}

// Guards against retries that multiply the load during an outage.
func TestRetriesAreBoundedDuringOutage(t *testing.T) {
	runInVirtualTime(t, 4, func(t *testing.T, f *fixture) {
		const requests = 400
		script := make([]pipe.Fault, 4*requests)
		for i := range script {
			script[i] = pipe.ServerError
		}
		f.setFaults(script...)
		for range requests {
			f.send(f.gateways[0], read("a"))
			time.Sleep(5 * time.Millisecond)
		}
		// 10% of the requests, one per second for 2 s, and the initial tokens
		// of the budget, which its capacity bounds.
		extra := len(f.arrivedRequests()) - requests
		require.LessOrEqual(t, extra, requests/10+2+int(f.gateways[0].service("shop").retryBudget.Capacity()))
	})
}

// Guards against requests that wait without bound while all backend servers are
// at their limit.
func TestOverloadIsShed(t *testing.T) {
	runInVirtualTime(t, 1, func(t *testing.T, f *fixture) {
		script := make([]pipe.Fault, 200)
		for i := range script {
			script[i] = pipe.Slow
		}
		f.setFaults(script...)
		var wg sync.WaitGroup
		var mu sync.Mutex
		runCounts := map[string]int{}
		for range 100 {
			wg.Go(func() {
				got := f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
				mu.Lock()
				defer mu.Unlock()
				if strings.Contains(got.Body.String(), reasonOverloaded) {
					require.Equal(t, "not_run", got.Header().Get(runHeader))
					require.NotEmpty(t, got.Header().Get("Retry-After"))
				}
				runCounts[got.Header().Get(runHeader)]++
			})
		}
		wg.Wait()
		require.Positive(t, runCounts["not_run"])
		require.Equal(t, runCounts["ran"], f.countRuns("a"))
	})
}

// Guards against a wrong run or reason in the refusal of a request without an
// issued key.
func TestNonIdempotentRequestWithoutIssuedKey(t *testing.T) {
	runInVirtualTime(t, 1, func(t *testing.T, f *fixture) {
		for key, reason := range map[string]string{"": reasonKeyRequired, "my-own-key": "key_not_issued"} {
			got := f.send(f.gateways[0], order("a", key))
			require.Contains(t, got.Body.String(), reason)
			require.Equal(t, "not_run", got.Header().Get(runHeader))
			newKey := got.Header().Get(keyHeader)
			require.NotEmpty(t, newKey)
			require.Equal(t, "ran", f.send(f.gateways[0], order("b", newKey)).Header().Get(runHeader))
		}
		require.Zero(t, f.countRuns("a"))
		require.Equal(t, uint64(4), f.gateways[0].auditLog.Totals().Requests)
		require.Equal(t, uint64(2), f.gateways[0].auditLog.Totals().RequestsByResult[audit.OutcomeNotRun])
	})
}

type fakeRecorder struct {
	mu      sync.Mutex
	records []*events.Event
}

func (r *fakeRecorder) Record(e *events.Event, _ ...events.Field) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, e)
}

// Guards against a non-idempotent request whose outcome is lost without a log
// line.
func TestLostOutcomeIsLogged(t *testing.T) {
	for ft, want := range map[pipe.Fault]*events.Event{pipe.CloseAfterRun: EventOutcomeUnknown, pipe.UnavailableNotRun: EventOutcomeUnknown, pipe.Truncate: EventResponseUndelivered, pipe.Serve: nil} {
		runInVirtualTime(t, 1, func(t *testing.T, f *fixture) {
			recorder := &fakeRecorder{}
			f.gateways[0].options.Recorder = recorder
			f.setFaults(ft)
			f.send(f.gateways[0], order("a", f.owners[0].Issue(time.Minute)))
			if want == nil {
				require.Empty(t, recorder.records)
				return
			}
			// The record of the request, and the event for the lost outcome.
			require.Equal(t, []*events.Event{EventAbnormalRequest, want}, recorder.records)
		})
	}
}
