package operator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/config/dynamic"
	"lentilpin/pkg/events"
	"lentilpin/pkg/measure"
	"lentilpin/pkg/operator"
	"lentilpin/pkg/operator/operatortest"
	"lentilpin/pkg/outlier"
	"lentilpin/pkg/peer/peerpb"
	"lentilpin/pkg/routing"
	"lentilpin/pkg/settings"
)

const credential = "correct-credential"

func newServer(t *testing.T, v *operatortest.View, log io.Writer) *httptest.Server {
	logger := logrus.New()
	logger.SetOutput(log)
	s := httptest.NewServer(operator.New(operator.Options{
		View: v, Credential: credential, Recorder: events.NewLogger(logger, v.AuditLog),
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "metric 1\n") }),
	}))
	t.Cleanup(s.Close)
	return s
}

func get(t *testing.T, url, authorization string) (int, http.Header, string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header, string(body)
}

func newView() *operatortest.View {
	v := &operatortest.View{
		InstanceName: "e-1", AuditLog: audit.New(2, 2),
		ServiceBackends: map[string][]operator.Backend{"varasto": {{Address: "[::1]:80", State: "ejected"}}},
		ServiceSettings: map[string]operator.Settings{"varasto": {Service: "varasto", Version: 3}},
	}
	for _, id := range []string{"old", "r/1", "r-2"} {
		v.AuditLog.AddRequest(audit.Record{RequestID: id, Reason: "queue_full", Start: time.Now(), Outcome: audit.OutcomeNotRun})
	}
	return v
}

// Guards against responses to requests without the credential, against a
// credential in the log or in a response, and against public routes that demand
// one.
func TestCredential(t *testing.T) {
	var log bytes.Buffer
	s := newServer(t, newView(), &log)
	tests := []struct {
		desc, path, authorization string
		want                      int
	}{
		{"health needs no credential", "/healthz", "", 200},
		{"readiness needs no credential", "/readyz", "", 200},
		{"metrics need no credential", "/metrics", "", 200},
		{"missing credential", "/v1/instances", "", 401},
		{"wrong credential", "/v1/instances", "Bearer wrong-credential", 401},
		{"prefix of the credential", "/v1/instances", "Bearer " + credential[:5], 401},
		{"credential with a suffix", "/v1/instances", "Bearer " + credential + "x", 401},
		{"wrong scheme", "/v1/instances", "Basic " + credential, 401},
		{"no scheme", "/v1/instances", credential, 401},
		{"unknown route without the credential", "/v1/nothing", "", 401},
		{"correct credential", "/v1/instances", "Bearer " + credential, 200},
		{"scheme in lower case", "/v1/instances", "bearer " + credential, 200},
		{"unknown route with the credential", "/v1/nothing", "Bearer " + credential, 404},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			status, header, body := get(t, s.URL+tc.path, tc.authorization)
			require.Equal(t, tc.want, status)
			require.NotContains(t, body, "wrong-credential")
			require.NotContains(t, body, credential)
			if tc.want == 401 {
				require.Equal(t, "Bearer", header.Get("WWW-Authenticate"))
				require.NotContains(t, body, "e-1")
			}
		})
	}
	require.Contains(t, log.String(), "operator_refused")
	require.NotContains(t, log.String(), "wrong-credential")
	require.NotContains(t, log.String(), credential)
	require.Panics(t, func() { operator.New(operator.Options{}) })
}

// Guards against routes that return the wrong object, and against a 404 that does
// not distinguish an unknown object from an unknown path.
func TestRoutes(t *testing.T) {
	v := newView()
	s := newServer(t, v, io.Discard)
	tests := []struct {
		desc, path string
		status     int
		want       string
	}{
		{"request", "/v1/requests/r-2", 200, `"request_id":"r-2"`},
		{"request with an escaped ID", "/v1/requests/r%2F1", 200, `"request_id":"r/1"`},
		{"request whose record was evicted", "/v1/requests/old", 404, "1 older ones have fallen off"},
		{"refusals include evicted records", "/v1/refusals?minutes=5", 200, `"count":3`},
		{"refusals with the default period", "/v1/refusals", 200, `"count":3`},
		{"minutes are not a number", "/v1/refusals?minutes=x", 400, "from 1 to 1440"},
		{"too many minutes", "/v1/refusals?minutes=9999", 400, "from 1 to 1440"},
		{"backends", "/v1/backends/varasto", 200, `"state":"ejected"`},
		{"backend", "/v1/backends/varasto/[::1]:80", 200, `"state":"ejected"`},
		{"backend with an escaped address", "/v1/backends/varasto/%5B::1%5D%3A80", 200, `"state":"ejected"`},
		{"unknown backend server", "/v1/backends/varasto/10.0.0.1:80", 404, operator.ProblemUnknown},
		{"unknown service of a backend server", "/v1/backends/none/10.0.0.1:80", 404, "no service none"},
		{"backends of an unknown service", "/v1/backends/none", 404, operator.ProblemUnknown},
		{"settings", "/v1/settings/varasto", 200, `"version":3`},
		{"settings of an unknown service", "/v1/settings/none", 404, operator.ProblemUnknown},
		{"instances", "/v1/instances", 200, `"entry":{"instance":"e-1"`},
		{"draining", "/v1/draining", 200, `"result":`},
		{"measuring", "/v1/measuring", 200, `"result":`},
		{"hedges", "/v1/hedges", 200, `"result":`},
		{"audit", "/v1/audit?after=0&limit=5", 200, `"last":0`},
		{"audit with a negative sequence number", "/v1/audit?after=-1", 400, "after must be"},
		{"unknown path", "/v1/requests", 404, "about:blank"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			status, header, body := get(t, s.URL+tc.path, "Bearer "+credential)
			require.Equal(t, tc.status, status, body)
			require.Contains(t, body, tc.want)
			require.True(t, json.Valid([]byte(body)))
			require.Equal(t, "no-store", header.Get("Cache-Control"))
		})
	}
	resp, err := http.Post(s.URL+"/v1/instances", "text/plain", nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NotEqual(t, 200, resp.StatusCode)
	v.NotReadyReason = "unconfirmed"
	status, _, body := get(t, s.URL+"/readyz", "")
	require.Equal(t, 503, status)
	require.Equal(t, "unconfirmed\n", body)
}

// Guards against Describe functions that swap values of the packages that own the
// state.
func TestDescribe(t *testing.T) {
	tree, err := dynamic.Parse([]byte(`{"version":7,"fleet":{"defaults":{"measuring":{"messagesPerSecond":80}}},"regions":{"r":{"services":{"varasto":{}}}}}`))
	require.NoError(t, err)
	state := settings.State{Tree: tree, Source: "peer e-2", Confirmed: true, Confirmation: "peer e-3"}
	got, ok := operator.DescribeSettings(state, "r", "varasto")
	require.True(t, ok)
	require.Contains(t, got.Values, operator.Value{Path: "measuring.messagesPerSecond", Value: "80", Origin: "fleet"})
	for _, missing := range []settings.State{{}, {Tree: tree}} {
		_, ok = operator.DescribeSettings(missing, "r", "none")
		require.False(t, ok)
	}

	i := operator.DescribeInstanceState(state, false, "leaving", []*peerpb.Member{{Instance: "e-2", Incarnation: 10, Phase: peerpb.Phase_PHASE_READY, Version: 6}})
	require.Equal(t, []any{uint64(7), "peer e-3", "leaving", "e-2", "000000000000000a", "ready", uint64(6)},
		[]any{i.Version, i.Confirmation, i.Reason, i.Members[0].Instance, i.Members[0].Incarnation, i.Members[0].Phase, i.Members[0].Version})

	service := &tree.Lookup("r", "varasto").Service
	budgets := measure.NewBudgets(0, service, 0)
	require.True(t, budgets.All.Take(time.Minute, 10))
	m := operator.DescribeMeasuring("varasto", operatortest.Start, service, budgets)
	require.Equal(t, []any{80.0, uint64(1), uint64(0), 20.0}, []any{m.All.BudgetPerSecond, m.All.Sent, m.CrossDomain.Sent, m.CrossDomain.BudgetPerSecond})

	b := operator.DescribeBackend(routing.Explanation{Address: "a", Weight: 0.5, Report: routing.Report{Inflight: 2, Queued: 3}},
		outlier.ServerInfo{State: outlier.StateSlowStart, Reason: "new_in_list", Remaining: time.Second})
	require.Equal(t, []any{"slow_start", "new_in_list", 0.5, int32(5)}, []any{b.State, b.StateReason, b.Weight, b.ReportedLoad})
}
