package payload_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/load/payload"
)

// Guards against accepting a body with a missing, changed or added byte, or a body
// of another request.
func TestCheck(t *testing.T) {
	body := payload.New("token \"1\"\n", "b1", 20)
	server, err := payload.Check(body, "token \"1\"\n")
	require.NoError(t, err)
	require.Equal(t, "b1", server)
	_, err = payload.Check(body, "token 2")
	require.ErrorIs(t, err, payload.ErrForeign)
	for i := range body {
		_, err := payload.Check(body[:i], "token \"1\"\n")
		require.ErrorIs(t, err, payload.ErrDamaged, "cut at %d", i)
		changed := append([]byte(nil), body...)
		changed[i] ^= 1
		_, err = payload.Check(changed, "token \"1\"\n")
		require.Error(t, err, "changed at %d", i)
	}
	_, err = payload.Check(append(body, 'x'), "token \"1\"\n")
	require.ErrorIs(t, err, payload.ErrDamaged)
	empty := payload.New("t", "b", 0)
	_, err = payload.Check(empty, "t")
	require.NoError(t, err)
}
