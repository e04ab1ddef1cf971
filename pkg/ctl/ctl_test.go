package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lentilpin/pkg/audit"
	"lentilpin/pkg/ctl"
	"lentilpin/pkg/events"
	"lentilpin/pkg/operator"
	"lentilpin/pkg/operator/operatortest"
)

const credential = "0123456789abcdef"

var testChange = events.NewChange(9921, logrus.InfoLevel, "ctl_test_change", "a change")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newEntry starts the operator interface of an entry and returns its address.
func newEntry(t *testing.T, v *operatortest.View) string {
	if v.AuditLog == nil {
		v.AuditLog = audit.New(10, 2)
	}
	s := httptest.NewServer(operator.New(operator.Options{View: v, Credential: credential, Metrics: http.NotFoundHandler(), Recorder: events.Discard{}}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// newUnresponsiveServer returns an address that accepts connections and never
// replies.
func newUnresponsiveServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func newViews() []*operatortest.View {
	start := operatortest.Start
	first := &operatortest.View{
		InstanceName: "e-1",
		ServiceBackends: map[string][]operator.Backend{"varasto": {
			{Address: "10.0.0.1:80", State: "ejected", StateReason: "error_ratio", Reasons: []string{"weight 0: ejected or draining"}, Remaining: 3 * time.Second, Picks: 10},
			{Address: "10.0.0.2:80", State: "healthy", Weight: 1, Picks: 90},
		}},
		ServiceSettings:  map[string]operator.Settings{"varasto": {Service: "varasto", Region: "finland", Version: 3, Values: []operator.Value{{Path: "timeoutMs", Value: "300", Origin: "fleet"}}}},
		OwnState:         operator.InstanceState{Ready: true, Version: 3, Digest: "aabbccddee", Confirmed: true, Confirmation: "peer", Members: []operator.Member{{Instance: "e-9", Incarnation: "09", Phase: "left"}}, Evacuated: []operator.EvacuatedDomain{{FailureDomain: "a", Backends: 41}}},
		ActiveDrainMarks: []operator.DrainMark{{Service: "varasto", Address: "10.0.0.2:80", Source: "response", Age: 2 * time.Second}},
		// The rate is computed by the clock: over 10,000 s, the time that the test takes
		// does not change its digits.
		Probes: []operator.Measuring{{Service: "varasto", Since: time.Now().Add(-10_000 * time.Second),
			All: operator.ProbeBudget{BudgetPerSecond: 20, Sent: 50_000}}},
		HedgeCounts: []operator.Hedges{{Service: "varasto", HedgeRatio: 0.02, FleetHedgeRatio: 1, Requests: 1000, Sent: 15, Won: 9, Canceled: 6, Refused: map[string]uint64{"too_late": 4, "no_capacity": 0}}},
	}
	second := &operatortest.View{
		InstanceName:     "e-2",
		ServiceBackends:  map[string][]operator.Backend{"varasto": {{Address: "10.0.0.1:80", State: "healthy", Weight: 1, Picks: 100}}},
		ServiceSettings:  map[string]operator.Settings{"varasto": {Service: "varasto", Region: "finland", Version: 2}},
		OwnState:         operator.InstanceState{Reason: "unconfirmed", Version: 2, Digest: "00112233", Confirmation: "paused"},
		ActiveDrainMarks: []operator.DrainMark{{Service: "varasto", Address: "10.0.0.2:80", Source: "peer", Age: time.Second}},
	}
	first.AuditLog, second.AuditLog = audit.New(10, 2), audit.New(10, 2)
	first.AuditLog.AddRequest(audit.Record{RequestID: "e-1-a/1", Service: "varasto", Method: "GET", Outcome: audit.OutcomeAnswered, Run: audit.Ran, Status: 200, Start: start,
		Attempts: []audit.Attempt{{Backend: "10.0.0.1:80", Result: "broken", Duration: time.Millisecond}, {Backend: "10.0.0.2:80", Result: "success"}}})
	for _, v := range []*operatortest.View{first, second} {
		v.AuditLog.AddRequest(audit.Record{RequestID: "x", Service: "varasto", Reason: "queue_full", Run: audit.NotRun, Outcome: audit.OutcomeNotRun, Start: time.Now()})
		for i := range 3 {
			v.AuditLog.Record(testChange, events.F("n", i))
		}
	}
	return []*operatortest.View{first, second}
}

func run(args ...string) (code int, out string) {
	o, err := ctl.ParseArgs(args)
	if err != nil {
		return 2, err.Error()
	}
	var b bytes.Buffer
	code = ctl.Run(context.Background(), o, &b)
	return code, b.String()
}

// Guards against output that omits the reply of an entry, and against exit codes
// that differ between commands for the same outcome.
func TestQueries(t *testing.T) {
	t.Setenv(ctl.CredentialVariable, credential)
	var addresses []string
	for _, v := range newViews() {
		addresses = append(addresses, newEntry(t, v))
	}
	all := strings.Join(addresses, ",")
	tests := []struct {
		desc string
		args []string
		code int
		want []string
	}{
		{"request", []string{"request", "e-1-a/1"}, 0, []string{"request e-1-a/1 at e-1", "outcome answered, run ran, status 200", "1        10.0.0.1:80", "broken", "unknown at e-2: no record"}},
		{"unknown request", []string{"request", "none"}, 5, []string{"unknown at e-1", "unknown at e-2", "records reach back to"}},
		{"refusals", []string{"refusals", "--minutes", "5"}, 0, []string{"2 refused", "2      varasto  queue_full  not_run  e-1, e-2"}},
		{"backend", []string{"backend", "varasto", "10.0.0.1:80"}, 0, []string{"ejected (error_ratio)", "e-1: weight 0", "e-2: nothing holds work back"}},
		{"backend known to one entry", []string{"backend", "varasto", "10.0.0.2:80"}, 0, []string{"e-1", "unknown at e-2"}},
		{"all backends of a service", []string{"backend", "varasto"}, 0, []string{"2 backend servers as seen by 2 entries", "55.0%", "2 of 2", "ejected (error_ratio) at 1, healthy at 1"}},
		{"unknown service", []string{"backend", "none"}, 5, []string{"no service none"}},
		{"settings", []string{"settings", "varasto"}, 0, []string{"ENTRIES DIFFER: 2", "timeoutMs  300    fleet", "version 2"}},
		{"settings of an unknown service", []string{"settings", "none"}, 5, nil},
		{"instances", []string{"instances"}, 0, []string{"NO: unconfirmed", "NO: paused", "version 3 (aabbccdd) is in force at 1 of 2", "e-9"}},
		{"evacuation", []string{"instances"}, 0, []string{`failure domain "a" is evacuated at 1 of 2 entries that answered, 41 backend servers`}},
		{"draining", []string{"draining"}, 0, []string{"1s ago", "peer", "2 of 2: e-1, e-2"}},
		{"measuring", []string{"measuring"}, 0, []string{"50000", "20.00", "25.0%"}},
		{"hedges", []string{"hedges"}, 0, []string{"1.50%", "2.0%", "none", "too_late 4"}},
		{"audit", []string{"audit"}, 0, []string{"ctl_test_change", "n=2", "e-2: 1 changes have fallen off", "4 changes at 2 entries"}},
		{"audit with a limit", []string{"audit", "--after", "1", "--limit", "1"}, 0, []string{"e-1: 1 more changes, use --after 2"}},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			code, out := run(append(tc.args, "--entries", all)...)
			require.Equal(t, tc.code, code, out)
			for _, w := range tc.want {
				require.Contains(t, out, w)
			}
			jsonCode, text := run(append(tc.args, "--json", "--entries", all)...)
			require.Equal(t, code, jsonCode)
			var r struct {
				Complete bool
				ExitCode int `json:"exit_code"`
				Replies  []struct{ Address, Status string }
			}
			require.NoError(t, json.Unmarshal([]byte(text), &r))
			require.Equal(t, []any{true, code, 2}, []any{r.Complete, r.ExitCode, len(r.Replies)})
		})
	}
}

// Guards against omitting an entry that did not reply, and against reporting an
// object as unknown although the reply of an entry is missing.
func TestUnanswered(t *testing.T) {
	t.Setenv(ctl.CredentialVariable, credential)
	entry, unresponsive := newEntry(t, newViews()[0]), newUnresponsiveServer(t)
	garbageServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") {
			_, _ = io.WriteString(w, "<html>")
		}
	}))
	t.Cleanup(garbageServer.Close)
	garbageAddress := strings.TrimPrefix(garbageServer.URL, "http://")
	redirectServer := httptest.NewServer(http.RedirectHandler("http://"+entry+"/v1/instances", http.StatusFound))
	t.Cleanup(redirectServer.Close)
	redirectAddress := strings.TrimPrefix(redirectServer.URL, "http://")
	notFoundServer := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(notFoundServer.Close)
	notFoundAddress := strings.TrimPrefix(notFoundServer.URL, "http://")
	tests := []struct {
		desc    string
		entries string
		args    []string
		code    int
		missing string
	}{
		{"one entry does not reply", entry + "," + unresponsive, []string{"draining", "--timeout", "1s"}, 4, "NO ANSWER from " + unresponsive + ": no answer within 1s"},
		{"no reply and an unknown object", entry + "," + unresponsive, []string{"request", "none", "--timeout", "1s"}, 4, "NO ANSWER from " + unresponsive},
		{"no entry replies", unresponsive, []string{"instances", "--timeout", "100ms"}, 1, "NO ANSWER from " + unresponsive},
		{"invalid reply", entry + "," + garbageAddress, []string{"instances"}, 4, "NO ANSWER from " + garbageAddress + ": the reply is not from"},
		{"server without an operator interface", entry + "," + notFoundAddress, []string{"request", "none"}, 4, "NO ANSWER from " + notFoundAddress + ": Not Found"},
		{"redirect", entry + "," + redirectAddress, []string{"instances"}, 4, "NO ANSWER from " + redirectAddress + ": Found"},
		{"one reply of three", unresponsive + "," + notFoundAddress + "," + entry, []string{"instances", "--timeout", "1s"}, 4, "2 of 3 entries are missing"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			code, out := run(append(tc.args, "--entries", tc.entries)...)
			require.Equal(t, tc.code, code, out)
			require.Contains(t, out, tc.missing)
		})
	}
	t.Setenv(ctl.CredentialVariable, "wrong-credential")
	code, out := run("instances", "--entries", entry)
	require.Equal(t, 1, code)
	require.Contains(t, out, "credential is missing or wrong")
	require.NotContains(t, out, "wrong-credential")
}

// tempFiles returns a temporary directory and a function that writes a file in it
// and returns its path.
func tempFiles(t *testing.T) (dir string, file func(name, text string) string) {
	dir = t.TempDir()
	return dir, func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
}

// Guards against a credential that is read from the wrong source or shown in an
// error, and against accepting invalid values.
func TestOptions(t *testing.T) {
	dir, writeFile := tempFiles(t)
	credentialPath := writeFile("secret", "from-the-file\n")
	inlineSettings := writeFile("plain.json", `{"entries":["127.0.0.1:1"],"credential":"from-the-settings"}`)
	referringSettings := writeFile("pointer.json", `{"entries":["127.0.0.1:1","[::1]:2"],"credentialFile":"`+credentialPath+`"}`)
	invalidSettings := writeFile("bad.json", `{"entries":["127.0.0.1:1"],"credential":"short"}`)
	tests := []struct {
		desc, env  string
		args       []string
		credential string
		err        string
	}{
		{"environment", "from-env", []string{"instances", "-e", "127.0.0.1:1"}, "from-env", ""},
		{"file before environment", "from-env", []string{"instances", "-e", "127.0.0.1:1", "-c", credentialPath}, "from-the-file", ""},
		{"environment before settings", "from-env", []string{"-s", inlineSettings, "instances"}, "from-env", ""},
		{"settings", "", []string{"-s", inlineSettings, "instances"}, "from-the-settings", ""},
		{"file named in the settings", "", []string{"instances", "-s", referringSettings}, "from-the-file", ""},
		{"missing credential", "", []string{"instances", "-e", "127.0.0.1:1"}, "", "no credential"},
		{"missing entries", "x", []string{"instances"}, "", "no entries"},
		{"invalid address", "x", []string{"instances", "-e", "nowhere"}, "", `--entries: value "nowhere"`},
		{"invalid settings", "", []string{"instances", "-s", invalidSettings}, "", "/credential: value (secret)"},
		{"missing settings file", "", []string{"instances", "-s", dir + "/none"}, "", "--settings"},
		{"missing credential file", "", []string{"instances", "-e", "127.0.0.1:1", "-c", dir + "/none"}, "", "credential file"},
		{"invalid minutes", "x", []string{"refusals", "-e", "127.0.0.1:1", "-m", "0"}, "", "--minutes: value 0"},
		{"invalid limit", "x", []string{"audit", "-e", "127.0.0.1:1", "-l", "0"}, "", "--limit: value 0"},
		{"invalid timeout", "x", []string{"instances", "-e", "127.0.0.1:1", "-t", "0s"}, "", "--timeout: value 0s"},
		{"missing command", "x", nil, "", "no command"},
		{"command without a credential", "", []string{"check", "tree.json"}, "", ""},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Setenv(ctl.CredentialVariable, tc.env)
			o, err := ctl.ParseArgs(tc.args)
			if tc.err != "" {
				require.ErrorContains(t, err, tc.err)
				require.NotContains(t, err.Error(), "short")
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.credential, o.Credential)
		})
	}
}

// Guards against accepting a tree that entries would refuse, against errors
// without path, value and rule, and against changes that are not shown.
func TestCheckAndDiff(t *testing.T) {
	dir, writeFile := tempFiles(t)
	old := writeFile("old", `{"version":3,"regions":{"r":{"services":{"maksu":{},"varasto":{"timeoutMs":300},"tilaus":{}}}}}`)
	next := writeFile("next", `{"version":4,"regions":{"r":{"services":{"maksu":{},"varasto":{"timeoutMs":400,"queue":{"maxWaitMs":7}},"toimitus":{}}}}}`)
	sameVersion := writeFile("same", `{"version":3,"regions":{"r":{"services":{"maksu":{}}}}}`)
	invalid := writeFile("bad", `{"version":3,"regions":{"r":{"services":{"maksu":{"timeoutMs":0}}}}}`)
	malformed := writeFile("broken", `{`)
	tests := []struct {
		desc string
		args []string
		code int
		want []string
	}{
		{"valid tree", []string{"check", old}, 0, []string{"valid", "varasto", "tilaus", "maksu", "71", "region/r/service/varasto"}},
		{"violated rule", []string{"check", invalid}, 2, []string{"/regions/r/services/maksu/timeoutMs", "0", "minimum"}},
		{"not JSON", []string{"check", malformed}, 2, []string{"parse JSON"}},
		{"missing file", []string{"check", dir + "/none"}, 1, []string{"no such file"}},
		{"diff", []string{"diff", old, next}, 0, []string{"toimitus", "added", "removed", "timeoutMs", "300", "400", "queue.maxWaitMs", "built-in"}},
		{"lower version", []string{"diff", next, old}, 0, []string{"version 3 is below 4"}},
		{"same version", []string{"diff", old, sameVersion}, 0, []string{"both have version 3"}},
		{"no difference", []string{"diff", old, old}, 0, []string{"0"}},
		{"diff with an invalid tree", []string{"diff", old, invalid}, 2, []string{"timeoutMs", "minimum"}},
	}
	for _, tc := range tests {
		for _, args := range [][]string{tc.args, append(tc.args, "--json")} {
			t.Run(tc.desc, func(t *testing.T) {
				code, out := run(args...)
				require.Equal(t, tc.code, code, out)
				for _, w := range tc.want {
					require.Contains(t, out, w)
				}
			})
		}
	}
}
