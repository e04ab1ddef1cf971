package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/pipe"
)

// Guards against a part of a response that callers get as a complete one, or a refusal that
// says that the request has not run: the backend server has responded without a length while
// the upload was still being written, and reset the connection.
func TestEarlyPartIsNoResponse(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		isOrder bool
		faults  []pipe.Fault // of the backend servers in the order of the attempts
		want    int          // status
	}{
		{"order", true, []pipe.Fault{pipe.EarlyPart}, http.StatusBadGateway},
		{"read, both attempts", false, []pipe.Fault{pipe.EarlyPart, pipe.EarlyPart}, http.StatusBadGateway},
		{"read, the second backend server refuses", false, []pipe.Fault{pipe.EarlyPart, pipe.Shed}, http.StatusBadGateway},
		{"read, the second attempt is served", false, []pipe.Fault{pipe.EarlyPart, pipe.Serve}, http.StatusOK},
	} {
		for _, isHandedOn := range []bool{false, true} {
			for _, isUpload := range []bool{true, false} { // a short read has been written when its connection is reset
				t.Run(fmt.Sprintf("%s, handed on %t, upload %t", tt.desc, isHandedOn, isUpload), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFixtureWith(t, 2, 2, unframedTreeText)
						defer f.close()
						if isHandedOn {
							f.cutFromBackends(0, cut{})
						}
						f.assignFaults(tt.faults)
						r := read("a")
						if tt.isOrder {
							r = order("a", f.owners[0].Issue(time.Minute))
						}
						if isUpload {
							r = upload(r)
						}
						got := f.send(f.gateways[0], r)
						require.Equal(t, isHandedOn, f.countHandedOn() > 0)
						require.False(t, tt.isOrder && f.countRuns("a") != 1, "an order ran again")
						if got.broken {
							require.False(t, isUpload, "an error would have been clearer")
							return
						}
						require.Equal(t, tt.want, got.Code, got.Body)
						if tt.want == http.StatusOK {
							require.Equal(t, "for a", got.Body.String())
							return
						}
						require.Equal(t, "unknown", got.Header().Get(runHeader))
						require.Empty(t, got.Header().Get("Retry-After"))
					})
				})
			}
		}
	}
}
