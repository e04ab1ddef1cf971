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

// Guards against a refusal by rank that an operator cannot tell from one of an overload
// that concerns all requests.
func TestExplainPriority(t *testing.T) {
	const line = `{"event":6010,"request_id":"id-1","outcome":"not_run","reason":"outranked","admission":{"priority":7,"rank":2,"headroom":0.8,"occupancy":1.25,"waited_ms":62.04}}`
	parsed, ok := parseLine([]byte(line))
	require.True(t, ok)
	var out strings.Builder
	showTimeline(&out, &explainReport{Found: true}, []logLine{parsed}, nil)
	require.Contains(t, out.String(), "reason outranked")
	require.Contains(t, out.String(), "priority 7, rank 2: waited 62.0 ms; 80% of a backend server's load left to more urgent requests at 1.2 requests for each slot")
}
