package gateway

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"lentilpin/standin/pipe"
)

// Guards against a route of a long timeout whose attempts end after the shorter limit of
// the service, here and at a peer, and against a peer that refuses its values.
func TestAttemptTimeoutOfRoute(t *testing.T) {
	tree := strings.TrimSuffix(treeText, "}") + `, "routes": [{"host": "example.com", "pathPrefix": "/shop/", "idempotent": true, "timeoutMs": 2147483647,
 "attemptTimeoutMs": 2147483647, "maxAttempts": 2147483647, "services": [{"service": "shop"}]}]}`
	for _, tt := range []struct {
		desc  string
		isCut bool
	}{{"at a backend server", false}, {"handed on", true}} {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixtureWith(t, 2, 1, tree)
				defer f.close()
				if tt.isCut {
					f.cutFromBackends(0, cut{})
				}
				for _, b := range f.backends {
					b.SetScript(nil, pipe.Slow) // longer than attemptTimeoutMs of the service
				}
				for _, timeout := range []string{"", "5000", "99999999999999999999"} {
					r := read("a")
					r.Header.Set(timeoutHeader, timeout)
					require.Equal(t, http.StatusOK, f.send(f.gateways[0], r).Code, timeout)
				}
				require.Equal(t, 3, f.countRuns("a"))
				require.Equal(t, tt.isCut, f.countHandedOn() > 0)
			})
		})
	}
}
