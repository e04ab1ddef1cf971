package ctl

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against explaining a request with log lines about another backend server
// whose address begins with that of the one that got the request.
func TestExplainMatchesWholeAddresses(t *testing.T) {
	const lines = `{"event":6010,"request_id":"id-1","attempts":[{"backend":"10.0.0.1:80"}]}
{"event":4442,"address":"10.0.0.1:80"}
{"event":4442,"address":"10.0.0.1:80/i-7/5"}
{"event":4442,"address":"10.0.0.1:8080"}
`
	requestLines, backendLines, err := readLines(strings.NewReader(lines), &explainReport{RequestID: "id-1"})
	require.NoError(t, err)
	require.Len(t, requestLines, 1)
	var addresses []string
	for _, l := range backendLines {
		addresses = append(addresses, l.Address)
	}
	require.Equal(t, []string{"10.0.0.1:80", "10.0.0.1:80/i-7/5"}, addresses)
}
