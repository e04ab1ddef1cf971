package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/pipe"
)

// Guards against requests that arrive in a planned stop, run until after its end and are
// cut off there: at every moment of the stop, on an instance that serves them itself and on
// one that serves them for a peer.
func TestRequestsInAPlannedStop(t *testing.T) {
	const stop, interval = 3 * time.Second, 10 * time.Millisecond
	for _, tt := range []struct {
		desc string
		// sender is the gateway that gets the requests; the first one stops.
		sender int
		cut    bool // from backend servers
	}{
		{"own callers", 0, false},
		{"requests of a peer", 1, true},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 2, 4, strings.Replace(treeText, `"outlier"`, `"queue": {"maxWaitMs": 300}, "outlier"`, 1))
				defer f.close()
				if tt.cut {
					f.cutFromBackends(tt.sender, cut{})
				}
				f.setFaults(pipe.Serve, pipe.Serve, pipe.Slow, pipe.Serve, pipe.Silent, pipe.Shed)
				end := time.Now().Add(stop)
				f.gateways[0].StartDrain(end)
				var requests sync.WaitGroup
				var mu sync.Mutex
				served, refused := 0, 0
				for i := range int(stop / interval) {
					requests.Go(func() {
						name := fmt.Sprintf("%d.", i)
						r := read(name)
						if i%2 == 0 {
							r = order(name, f.owners[1].Issue(time.Minute))
						}
						r.Header.Set(timeoutHeader, fmt.Sprint(200+200*(i%5)))
						sent := time.Now()
						got := f.send(f.gateways[tt.sender], r)
						require.False(t, got.broken)
						require.False(t, tt.sender == 0 && time.Now().After(end), "the response comes after the end of the stop")
						late := sent.Add(time.Duration(200+200*(i%5)) * time.Millisecond).After(end)
						if late {
							require.Zero(t, f.countRuns(name), "a request that may outlive the stop was sent")
						}
						if tt.sender == 0 {
							require.Equal(t, "close", got.Header().Get("Connection"))
						}
						if tt.sender == 0 && late {
							require.Equal(t, http.StatusServiceUnavailable, got.Code)
							require.NotEmpty(t, got.Header().Get("Retry-After"))
						}
						mu.Lock()
						defer mu.Unlock()
						if got.Code == http.StatusOK {
							served++
						} else if late {
							refused++
						}
					})
					time.Sleep(interval)
				}
				requests.Wait()
				require.Greater(t, served, int(stop/interval)/5)
				require.NotZero(t, refused)
			})
		})
	}
}
