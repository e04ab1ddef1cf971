package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/static"
)

// Guards against a refusal of a request for keys that lacks what every other refusal
// states.
func TestRefusalOfRequestForKeys(t *testing.T) {
	g, _ := newGatewayWithoutSettings(func() (bool, string) { return true, "" })
	server := newCallerServer(g, static.Defaults().Limits)
	for _, count := range []string{"0", "101", "x"} {
		w := httptest.NewRecorder()
		server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, keysPath+"?count="+count, nil))
		require.Equal(t, http.StatusBadRequest, w.Code)
		require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
		var p Problem
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
		require.NotEmpty(t, p.RequestID)
		require.Equal(t, "urn:lentilpin:request:"+p.RequestID, p.Instance)
		require.Equal(t, "not_run", p.Run)
		require.Equal(t, keyStateNone, p.KeyState)
	}
}
