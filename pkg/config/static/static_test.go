package static_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/static"
)

const validSettings = `{"instance":"e-1","region":"r","failureDomain":"fd","ordinal":0,
 "listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2","operators":"127.0.0.1:3"},
 "platform":"http://127.0.0.1:4",
 "secrets":{"keySigning":["0123456789abcdef0123456789abcdef"],"peer":"0123456789abcdef","operator":"fedcba9876543210"}}`

// Guards against lost defaults and against errors that omit the path of the
// wrong value or contain a secret.
func TestParse(t *testing.T) {
	s, err := static.Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "wait", s.OnUnconfirmed)
	require.Equal(t, 2000, s.Shutdown.DrainMS)
	tests := []struct{ desc, old, new, want string }{
		{"missing member", `"ordinal":0,`, ``, "/ordinal: value (none): a value is required"},
		{"unknown member", `"ordinal":0`, `"ordinal":0,"ordinals":1`, "/ordinals: value 1: unknown member"},
		{"out of range", `"ordinal":0`, `"ordinal":-1`, "/ordinal: value -1: "},
		{"host name instead of an IP address", `127.0.0.1:2`, `localhost:2`, "/listen/peers: value \"localhost:2\": "},
		{"invalid IP address", `127.0.0.1:2`, `999.0.0.1:2`, "/listen/peers: value 999.0.0.1:2: "},
		{"port out of range", `127.0.0.1:2`, `127.0.0.1:70000`, "/listen/peers: value 127.0.0.1:70000: "},
		{"short secret", `0123456789abcdef0123456789abcdef`, `swordfish`, "/secrets/keySigning/0: value (secret): "},
		{"secret of the wrong type", `"fedcba9876543210"`, `{"swordfish":1}`, "/secrets/operator: value (secret): "},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			_, err := static.Parse([]byte(strings.Replace(validSettings, tc.old, tc.new, 1)))
			require.ErrorContains(t, err, tc.want)
			require.NotContains(t, err.Error(), "swordfish")
		})
	}
}
