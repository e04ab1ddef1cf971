package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/events"
	"lentilpin/pkg/ledger"
	"lentilpin/pkg/settings"
)

// Guards against a 404 between the moment at which the settings store knows its
// first version and that at which the gateway has adopted it. A bench day showed
// eleven such answers after all entries had started again at once.
func TestNothingIsUnknownBeforeTheFirstVersion(t *testing.T) {
	c := timeClock{}
	keyring := ledger.NewKeyring([]string{"0123456789abcdef0123456789abcdef"})
	g := New(Options{
		Instance: "entry", Region: "r", Store: settings.NewStore(events.Discard{}, c),
		Owner: ledger.NewOwner(ledger.OwnerOptions{Address: "127.0.0.1:1", Clock: c, Keyring: keyring, Recorder: events.Discard{}}),
		Log:   audit.New(1, 1), Recorder: events.Discard{}, Scope: tally.NoopScope,
		Ready: func() (bool, string) { return true, "" }, Notify: func() {},
	})
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/shop/items/1", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}
